/// Determines which workspaces use more than their weighted share of a full fleet.
#pragma once

#include <set>

#include "libraries/planner/plan_snapshot.h"

namespace papayalift {

/// Load that it answers: one workspace submits many times its usual amount and fills the fleet.
/// Compares dominant shares, as in dominant resource fairness (Ghodsi et al., NSDI 2011). Only
/// workspaces with a weight take part. Empty while the fleet is not full.
std::set<WorkspaceId> FindWorkspacesOverShare(const PlanSnapshot& snapshot);

}  // namespace papayalift
