/// The schedule of the faults that a soak injects, derived from the seed alone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/base/units.h"
#include "libraries/soak/link_fault.h"

namespace papayalift {

enum class SoakAction {
  /// SIGKILL; the node's supervisor restarts it.
  kKillNode,
  /// SIGSTOP, and SIGCONT after `lasts`.
  kPauseNode,
  /// SIGTERM; the node is restarted once it has exited.
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
  /// A new manifest; every second one changes the API key.
  kNewManifest,
  kEvacuation,
  /// The minion's process ends, and no other takes its place.
  kMinionGone,
  /// SIGKILL to the node that leads; the node's supervisor restarts it.
  kKillLeader,
  /// The minion announces its end, leaves after `lasts`, and starts again under its id.
  kMinionDrains,
  /// Another writer puts an entry with a field missing under the minion's id.
  kOddEntry,
};

struct SoakStep {
  Milliseconds at{0};
  SoakAction action = SoakAction::kKillNode;
  /// Index of the node or the minion.
  int target = 0;
  /// Number of calls affected, for faults that are limited to a number of calls.
  int count = 1;
  Milliseconds lasts{0};
  LinkFault link;
};

struct SoakSize {
  int nodes = 3;
  int minions = 8;
  Milliseconds duration{20'000};
};

/// Returns the steps sorted by time. A fault may outlast `duration`.
std::vector<SoakStep> MakeSoakPlan(std::uint64_t seed, const SoakSize& size);

/// Formats a step, such as "12.3 s pause-node 1 for 2.0 s".
std::string SoakStepText(const SoakStep& step);

}  // namespace papayalift
