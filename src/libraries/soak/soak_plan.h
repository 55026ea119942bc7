/// Which faults a soak injects, and when: all of it follows from the seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/base/units.h"
#include "libraries/soak/link_fault.h"

namespace papayalift {

enum class SoakAction {
  /// SIGKILL; whatever looks after the node starts it again.
  kKillNode,
  /// SIGSTOP, and SIGCONT after `lasts`.
  kPauseNode,
  /// SIGTERM; it is started again once it has left.
  kStopNode,
  /// SIGHUP.
  kReloadNode,
  kNodeToStore,
  kConsumersToNode,
  kNodesToMinion,
  kResetNodeToStore,
  kResetConsumersToNode,
  kResetNodesToMinion,
  /// All links to the store at once.
  kStoreAway,
  kStoreRefuses,
  kStoreAnswersLost,
  kStoreWritesLate,
  kStoreForgets,
  kMinionRestarts,
  kMinionAnswersLost,
  kMinionOrdersLate,
  kMinionRefuses,
  /// A new manifest; the key in force changes with every second one.
  kNewManifest,
  kEvacuation,
};

struct SoakStep {
  Milliseconds at{0};
  SoakAction action = SoakAction::kKillNode;
  /// Of the node or the minion.
  int target = 0;
  /// Calls that meet the fault, where it counts calls.
  int count = 1;
  Milliseconds lasts{0};
  LinkFault link;
};

struct SoakSize {
  int nodes = 3;
  int minions = 8;
  Milliseconds duration{20'000};
};

/// In order of time. A fault may outlast `duration`.
std::vector<SoakStep> MakeSoakPlan(std::uint64_t seed, const SoakSize& size);

/// "12.3 s pause-node 1 for 2.0 s"
std::string SoakStepText(const SoakStep& step);

}  // namespace papayalift
