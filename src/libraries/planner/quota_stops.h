/// Chooses the runs to stop so that a step fits the quota of its own workspace.
#pragma once

#include <optional>
#include <vector>

#include "libraries/planner/workspace_quotas.h"

namespace papayalift {

/// Load that it answers: a workspace at its quota with borrowed work submits a job within its
/// guarantee. Returns indexes into the snapshot's victims, of the runs whose stop costs least and
/// that belong to the step's workspace; empty if what is being stopped is enough, nullopt if the
/// step may not stop enough.
std::optional<std::vector<std::size_t>> FindQuotaStops(const PendingStep& pending,
                                                       const WorkspaceQuotas& quotas,
                                                       const PlanSnapshot& snapshot,
                                                       const std::vector<bool>& is_stopped);

}  // namespace papayalift
