/// Builds the planner's input from the leader's state.
#pragma once

#include "libraries/base/clock.h"
#include "libraries/leader/leader_state.h"
#include "libraries/planner/plan_snapshot.h"
#include "libraries/work/fleet_manifest.h"

namespace papayalift {

PlanSnapshot BuildPlanSnapshot(LeaderState& state, const FleetManifest& manifest,
                               const Clock& clock);

}  // namespace papayalift
