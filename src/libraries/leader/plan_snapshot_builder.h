/// Builds the planner's input from the leader's state.
#pragma once

#include "libraries/base/clock.h"
#include "libraries/leader/leader_state.h"
#include "libraries/leader/plan_inputs.h"
#include "libraries/planner/plan.h"
#include "libraries/planner/plan_snapshot.h"
#include "libraries/work/fleet_manifest.h"

namespace papayalift {

struct PlanContents {
  PlanSnapshot snapshot;
  /// What the snapshot holds of each service.
  PlanInputs inputs;
  /// Gangs that can't be planned before the runs of their former attempt have ended.
  std::vector<PlannedWait> waits_for_ends;
};

/// Minions whose heartbeat is overdue by `max_heartbeat_age` are left out. If no step is pending,
/// the rest of the snapshot is empty too.
PlanContents BuildPlanSnapshot(LeaderState& state, const FleetManifest& manifest,
                               Milliseconds max_heartbeat_age, const Clock& clock);

}  // namespace papayalift
