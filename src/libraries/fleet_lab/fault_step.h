/// One step of a fault file.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "stand_ins/control/control_messages.h"

namespace papayalift {

enum class FaultAction {
  /// SIGKILL to the targets.
  kKill,
  /// SIGSTOP, and SIGCONT after the step's duration.
  kFreeze,
  /// SIGTERM to the targets.
  kGracefulStop,
  /// A fault rule on the targets' stand-ins.
  kLink,
  kStoreAway,
  kBreakWatches,
  kCompact,
  /// Changes the conduct of the targets' stand-ins.
  kConduct,
  /// Workers lose all state, as after a restart.
  kForget,
  kZoneOut,
  /// Two operators concurrently take one zone out and bring it back.
  kZoneRace,
  /// Two operators concurrently roll different bundles.
  kBundleRace,
  /// Rolls a bundle without the targets, and the original bundle again after the duration.
  kRetire,
  kCallStorm,
  kCancelStorm,
  /// One workspace borrows all free capacity; then the others submit jobs up to their guarantees.
  kReclaim,
};

struct FaultStep {
  Milliseconds at{0};
  FaultAction action = FaultAction::kKill;
  /// Names of processes; "worker-*" matches all workers.
  std::vector<std::string> targets;
  /// Number of targets selected at random; 0 selects all.
  int count = 0;
  /// 0 if the step is not reverted on a schedule.
  Milliseconds duration{0};
  FaultRule rule;
  ConductOrder conduct;
  ZoneId zone;
  /// For kCallStorm.
  int calls_per_second = 0;
  /// Number of jobs of a kCancelStorm or kReclaim, or of rounds of a race.
  int repeats = 1;
};

}  // namespace papayalift
