/// A job of steps and tasks as its submitter describes it.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/work/resources.h"

namespace papayalift {

/// How the tasks of a step relate to each other.
enum class WorkStepKind {
  /// Each task by itself.
  kIndependentTasks,
  /// All tasks run together, and end together.
  kGang,
};

struct StepSpec {
  WorkStepKind kind = WorkStepKind::kIndependentTasks;
  int count = 1;
  Resources needs;
  /// The submitter's guess of how long one task takes.
  Milliseconds estimate{0};
  /// Steps whose tasks must all be done first.
  std::vector<int> after;
  bool saves_checkpoints = false;
  /// Slower by a factor when it runs on more than one rack.
  bool prefers_one_rack = false;
  /// Slower by a factor on any other rack; empty for none.
  RackId data_rack;
  /// A label that the worker must have; empty for none.
  std::string required_label;
  /// Most tasks of the step on one worker; 0 for no limit.
  int max_tasks_per_worker = 0;
};

struct WorkSpec {
  /// Handed to every task as it is.
  std::string payload;
  std::vector<StepSpec> steps;
};

}  // namespace papayalift
