/// What the runs of each workspace use over all minions.
#pragma once

#include <vector>

#include "libraries/leader/leader_state.h"
#include "libraries/metrics/metrics.h"
#include "libraries/planner/plan_snapshot.h"
#include "libraries/work/fleet_manifest.h"

namespace papayalift {

/// The workspaces with a quota or a weight. Counts every run from its decision until it has
/// certainly ended, so that a start without an answer is never left out.
std::vector<PlanWorkspace> MeasureWorkspaceLoads(const LeaderState& state,
                                                 const FleetManifest& manifest);

/// Exports what workspaces with a quota use beside it. A quota of 0 means no limit.
void ExportWorkspaceLoads(const std::vector<PlanWorkspace>& workspaces, Metrics& metrics);

}  // namespace papayalift
