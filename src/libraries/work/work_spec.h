/// The steps and tasks of a job as submitted.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/work/resources.h"

namespace papayalift {

/// How the tasks of a step relate to each other.
enum class WorkStepKind {
  /// Each task starts and ends on its own.
  kIndependentTasks,
  /// All tasks run at the same time and end together.
  kGang,
};

struct StepSpec {
  WorkStepKind kind = WorkStepKind::kIndependentTasks;
  int count = 1;
  Resources needs;
  /// The submitter's estimate of the duration of one task.
  Milliseconds estimate{0};
  /// Indexes of earlier steps whose tasks must all be done first.
  std::vector<int> after;
  bool saves_checkpoints = false;
  /// The step is slower by a factor if it runs on more than one rack.
  bool prefers_one_rack = false;
  /// The step is slower by a factor on any other rack; empty for no preference.
  RackId data_rack;
  /// Label that the worker must have; empty for none.
  std::string required_label;
  /// Maximum number of the step's tasks on one worker; 0 for no limit.
  int max_tasks_per_worker = 0;
};

struct WorkSpec {
  /// Passed to every task unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
};

}  // namespace papayalift
