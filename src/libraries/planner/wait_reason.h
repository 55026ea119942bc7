/// Why tasks of a ready step are not started.
#pragma once

#include <string>

#include "libraries/planner/plan_capacity.h"

namespace papayalift {

enum class WaitReason {
  /// No usable minions have room for it.
  kNoCapacity,
  /// It would fit, but on other racks than the preferred one, which is expected to be free soon or
  /// where runs are being stopped for it.
  kRack,
  /// It would fit, but the room is reserved for steps that come first.
  kReserved,
  /// Its room is reserved while other runs are being stopped for it.
  kStops,
  /// Its tasks are suspected of crashing minions, and none is without other runs.
  kIsolation,
  /// Runs of the gang's former attempt have not ended.
  kFormerRuns,
  /// Its workspace has as much running as its quota allows.
  kQuota,
  /// The leader is behind with its work, and has as many starts out as it can follow.
  kLeaderBehind,
};

constexpr std::size_t kWaitReasons = 8;

/// As named in logs and metrics, such as "no_capacity".
std::string WaitReasonText(WaitReason reason);

/// The reason why a step that may not stop others does not start within the capacity that is left.
WaitReason FindWaitReason(const PendingStep& pending, const PlanCapacity& capacity);

}  // namespace papayalift
