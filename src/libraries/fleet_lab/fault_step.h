/// One step of a fault file.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "stand_ins/control/control_messages.h"

namespace papayalift {

enum class FaultAction {
  /// SIGKILL to listed processes.
  kKill,
  /// SIGSTOP, and SIGCONT after the step's duration.
  kFreeze,
  /// SIGTERM to listed processes.
  kGracefulStop,
  /// A fault rule on the targets' stand-ins.
  kLink,
  kStoreAway,
  kBreakWatches,
  kCompact,
  /// Another conduct of the targets' stand-ins.
  kConduct,
  /// Workers lose all that they know, as after a restart.
  kForget,
  kZoneOut,
  /// Two operators take one zone out and bring it back at the same moment.
  kZoneRace,
  /// Two operators roll different bundles at the same moment.
  kBundleRace,
  /// A bundle without the targets is rolled, and the old one again after the duration.
  kRetire,
  kCallStorm,
  kCancelStorm,
  /// One workspace borrows all that is free; then the others ask for their guarantees.
  kReclaim,
};

struct FaultStep {
  Milliseconds at{0};
  FaultAction action = FaultAction::kKill;
  /// Names of processes; "worker-*" is all workers.
  std::vector<std::string> targets;
  /// How many of the targets are picked; 0 is all.
  int count = 0;
  /// 0 where the step does not end by itself.
  Milliseconds duration{0};
  FaultRule rule;
  ConductOrder conduct;
  ZoneId zone;
  /// For kCallStorm.
  int calls_per_second = 0;
  /// Jobs of a kCancelStorm or kReclaim, or rounds of a race.
  int repeats = 1;
};

}  // namespace papayalift
