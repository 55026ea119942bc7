/// What the platform's lagging membership list has said of each VM.
#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "libraries/membership/vm_entry.h"

namespace papayalift {

/// The list only keeps new work away from VMs that leave. It ends nothing that runs, and what it
/// leaves out is taken as it was, so that a list that is empty, cut or late does no harm.
/// Thread-safe.
class VmList {
 public:
  /// Takes a newer list. An empty one changes nothing.
  void Update(const std::vector<VmEntry>& entries);

  /// kLive for a VM that the list has never named.
  VmState StateOf(const std::string& name) const;

  /// Whether a VM may be given new work.
  bool TakesWork(const std::string& name) const { return StateOf(name) == VmState::kLive; }

  /// How many VMs are known as leaving or gone.
  std::size_t leaving() const;

 private:
  mutable std::mutex m_mutex;
  /// Only those that are not live.
  std::map<std::string, VmState> m_leaving;
};

}  // namespace papayalift
