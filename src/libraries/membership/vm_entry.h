/// One entry of the platform's membership list.
#pragma once

#include <string>

namespace papayalift {

enum class VmState { kLive, kLeaving, kGone };

struct VmEntry {
  /// The name of a worker, minion or entry node.
  std::string name;
  VmState state = VmState::kLive;
};

}  // namespace papayalift
