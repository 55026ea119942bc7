/// What a planning pass decides.
#pragma once

#include <string>
#include <vector>

#include "libraries/planner/plan_snapshot.h"

namespace papayalift {

/// Tasks of one step that start together.
struct PlannedStart {
  JobId job;
  int step = 0;
  std::vector<PlannedPlacement> placements;
  /// Why there.
  std::string reason;
};

/// Runs that are stopped to make room.
struct PlannedStop {
  JobId job;
  int step = 0;
  std::vector<PlannedPlacement> placements;
  /// For whom.
  JobId beneficiary;
};

struct Plan {
  std::vector<PlannedStart> starts;
  std::vector<PlannedStop> stops;
};

}  // namespace papayalift
