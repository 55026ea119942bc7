/// The decisions of a planning pass.
#pragma once

#include <string>
#include <vector>

#include "libraries/planner/plan_snapshot.h"
#include "libraries/planner/wait_reason.h"

namespace papayalift {

/// Tasks of one step that start together.
struct PlannedStart {
  JobId job;
  int step = 0;
  std::vector<PlannedPlacement> placements;
  /// Why these minions were chosen.
  std::string reason;
};

/// Runs of one step that are stopped to free capacity.
struct PlannedStop {
  JobId job;
  int step = 0;
  std::vector<PlannedPlacement> placements;
  /// The job that receives the capacity.
  JobId beneficiary;
  /// Weighted core-seconds that are lost.
  double lost_work = 0;
  /// What the stop was judged by, in weighted core-seconds.
  double cost = 0;
};

/// A ready step of which tasks are not started in this pass.
struct PlannedWait {
  JobId job;
  int step = 0;
  ServiceId service;
  WorkspaceId workspace;
  /// Number of the tasks that wait.
  int tasks = 0;
  WaitReason reason = WaitReason::kNoCapacity;
  /// PendingStep::slack and worthless_slack, by which it was ordered.
  Milliseconds slack{0};
  Milliseconds worthless_slack{0};
  /// The last job that came first in this pass and was given capacity of the service; empty if
  /// there was none.
  JobId preferred{};
};

struct Plan {
  std::vector<PlannedStart> starts;
  std::vector<PlannedStop> stops;
  std::vector<PlannedWait> waits;
};

}  // namespace papayalift
