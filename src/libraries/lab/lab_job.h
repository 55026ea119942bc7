/// A job of a generated workload, with properties that are hidden from the scheduler.
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
  /// Index into Scenario::classes.
  std::size_t job_class = 0;
  /// Relative to the start of the run.
  Milliseconds submit_at{0};
  /// When its caller cancels it if it has not ended by then.
  std::optional<Milliseconds> cancel_at;
  Milliseconds run_time{0};
  Feasibility feasibility = Feasibility::kFeasible;
};

}  // namespace papayalift
