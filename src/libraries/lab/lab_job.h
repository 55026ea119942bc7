/// One job of a generated workload, with what only the lab knows of it.
#pragma once

#include <optional>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/model/job_spec.h"

namespace papayalift {

enum class Feasibility { kFeasible, kInfeasible };

struct LabJob {
  JobId id;
  JobSpec spec;
  /// Position in Scenario::classes.
  std::size_t job_class = 0;
  /// Since the run began.
  Milliseconds submit_at{0};
  /// When its caller cancels it, unless it has ended.
  std::optional<Milliseconds> cancel_at;
  Milliseconds run_time{0};
  Feasibility feasibility = Feasibility::kFeasible;
};

}  // namespace papayalift
