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

struct PlanSettings {
  /// Minions whose heartbeat is older are left out.
  Milliseconds max_heartbeat_age{0};
  /// How many times as long work takes away from its preferred rack.
  double remote_factor = 3;
};

/// If no step is pending,
/// the rest of the snapshot is empty too.
PlanContents BuildPlanSnapshot(LeaderState& state, const FleetManifest& manifest,
                               const PlanSettings& settings, const Clock& clock);

}  // namespace papayalift
