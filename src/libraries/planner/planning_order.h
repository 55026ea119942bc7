/// The order in which steps are offered capacity.
#pragma once

#include <set>
#include <vector>

#include "libraries/planner/plan_snapshot.h"

namespace papayalift {

/// Orders steps within their guarantee first, then by priority, then those of workspaces within
/// their share. Among these, steps that can still be on time come before late ones, then those with
/// the least slack. Where not all steps fit, steps that cost callers little are passed over so that
/// others are on time (PassOver()), unless the policy is kBySlack.
std::vector<const PendingStep*> OrderSteps(const PlanSnapshot& snapshot,
                                           const std::set<WorkspaceId>& over_share);

}  // namespace papayalift
