/// Finds minions for tasks that are suspected of crashing minions. Each of them runs on a minion
/// without other runs, so that a crash takes no other work with it and shows its cause.
#pragma once

#include <optional>
#include <vector>

#include "libraries/planner/placement_search.h"

namespace papayalift {

/// A minion of its own for each isolated task of the step, as far as there are enough.
std::vector<PlannedPlacement> FindIsolatedPlacements(const PendingStep& pending,
                                                     const PlanCapacity& capacity);

/// Placements for all members of a gang, with a minion of its own for each isolated one; empty if
/// they do not fit.
std::optional<FoundPlacements> FindIsolatedGang(const PendingStep& pending,
                                                const PlanCapacity& capacity);

/// The minion with the most free accelerators, or else processors, on which a task of the step may
/// run; empty if none is left. `needs` is what must be free there.
std::optional<MinionId> FindEmptiestMinion(const PendingStep& pending, const PlanCapacity& capacity,
                                           const Resources& needs);

/// Whether isolated tasks have waited too long for minions without other runs.
bool HasWaitedForIsolation(const PendingStep& pending, const PlanCapacity& capacity);

/// The step without its isolated tasks, or without those that have a placement.
PendingStep WithoutPlaced(const PendingStep& pending,
                          const std::vector<PlannedPlacement>& placements);
PendingStep WithoutIsolated(const PendingStep& pending);

}  // namespace papayalift
