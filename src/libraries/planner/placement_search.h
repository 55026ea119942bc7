/// Finds minions for the tasks of one pending step within the available capacity.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libraries/planner/plan_capacity.h"

namespace papayalift {

struct FoundPlacements {
  std::vector<PlannedPlacement> placements;
  /// All tasks are on the rack that the step prefers, or it has no preference.
  bool meets_rack_preference = true;
};

/// Whether the step can still be on time there. A minion of unknown speed is taken to be slow, as
/// most are where speeds differ.
bool IsFastEnough(const PendingStep& pending, const PlanMinion& minion);

/// Whether the minion has the service and the label that the step needs.
bool MatchesStep(const PendingStep& pending, const PlanMinion& minion);

/// Whether a task of the step may be placed on the minion, apart from the minion's free capacity.
bool IsEligible(const PendingStep& pending, const PlanMinion& minion);

/// Placements for all tasks of a gang; empty if they do not fit. `member` selects the capacity that
/// is searched.
std::optional<FoundPlacements> FindGangPlacements(const PendingStep& pending,
                                                  const PlanCapacity& capacity,
                                                  CapacityMember member);

/// Placements for as many independent tasks as fit.
FoundPlacements FindTaskPlacements(const PendingStep& pending, const PlanCapacity& capacity,
                                   CapacityMember member);

/// How the speeds of minions have decided the placements, such as "slow minions"; empty if they
/// have no part in it.
std::string SpeedReasonOf(const PendingStep& pending, const PlanCapacity& capacity,
                          const std::vector<PlannedPlacement>& placements);

/// Whether a gang, or one independent task, fits into the capacity, on whatever rack.
bool FitsAnywhere(const PendingStep& pending, const PlanCapacity& capacity, CapacityMember member);

/// The part of the minion's capacity that the step may use, by what is held there for gangs.
Resources FreeFor(const PendingStep& pending, const MinionCapacity& minion, CapacityMember member);

/// How many more of the step's tasks may run on the minion, by the step's limit.
std::int64_t TaskSlotsOn(const PendingStep& pending, const MinionId& minion);

}  // namespace papayalift
