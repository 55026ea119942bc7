/// Finds places for the tasks of one unit in the room that is left.
#pragma once

#include <optional>
#include <vector>

#include "libraries/planner/plan_capacity.h"

namespace papayalift {

struct FoundPlacements {
  std::vector<PlannedPlacement> placements;
  /// All on the rack that the step wants, or it wants none.
  bool meets_rack_preference = true;
};

/// Whether a task of the unit may ever run on the minion, leaving its room aside.
bool IsEligible(const PendingStep& pending, const PlanMinion& minion);

/// The racks on which the unit may run near its data or together.
std::vector<RackId> RacksFor(const PendingStep& pending, const PlanCapacity& capacity);

/// Places for all tasks of a gang, or empty. `member` says which room counts.
std::optional<FoundPlacements> FindGangPlacements(const PendingStep& pending,
                                                  const PlanCapacity& capacity,
                                                  CapacityMember member);

/// Places for as many single tasks as fit.
FoundPlacements FindTaskPlacements(const PendingStep& pending, const PlanCapacity& capacity,
                                   CapacityMember member);

/// The step runs slower elsewhere, and its rack could hold it if nothing else ran there.
bool ShouldWaitForRack(const PendingStep& pending, const PlanCapacity& capacity);

}  // namespace papayalift
