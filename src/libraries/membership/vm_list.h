/// The latest state of each VM according to the platform's membership list, which lags.
#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "libraries/membership/vm_entry.h"

namespace papayalift {

/// Only keeps new work away from leaving VMs and never ends running work. A VM that an update omits
/// keeps its state, so an empty, truncated or late list does no harm. Thread-safe.
class VmList {
 public:
  /// Applies a newer list. VMs that it omits keep their state.
  void Update(const std::vector<VmEntry>& entries);

  /// Returns kLive for a VM that no list has named.
  VmState StateOf(const std::string& name) const;

  /// Whether the VM may get new work.
  bool TakesWork(const std::string& name) const { return StateOf(name) == VmState::kLive; }

  /// The number of VMs that are leaving or gone.
  std::size_t leaving() const;

 private:
  mutable std::mutex m_mutex;
  /// Only VMs that are leaving or gone.
  std::map<std::string, VmState> m_leaving;
};

}  // namespace papayalift
