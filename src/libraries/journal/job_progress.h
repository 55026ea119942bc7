/// How far a job has come; written by the leader only.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/journal/accepted_job.h"
#include "libraries/work/run_messages.h"

namespace papayalift {

enum class TaskPhase {
  kWaiting,
  /// A run was decided, and may be running or about to.
  kPlaced,
  kDone,
};

struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  /// The last attempt that was decided; 0 for none.
  AttemptNumber attempt;
  /// Attempts that ended in failure. Members of a gang count alike.
  int failures = 0;
  AttemptNumber last_failed;
  std::string checkpoint;
  /// Where the attempt runs; only while placed.
  MinionId minion;
  MinionIncarnation incarnation;

  bool operator==(const TaskProgress&) const = default;
};

enum class WorkState { kQueued, kRunning, kDone, kFailed, kCancelled };

struct StepProgress {
  std::vector<TaskProgress> tasks;

  bool operator==(const StepProgress&) const = default;
};

struct JobProgress {
  WorkState state = WorkState::kQueued;
  /// Wall clock of the leader that ended it; 0 while it goes on.
  Milliseconds ended_at{0};
  /// Empty once the job has ended and nothing of it runs.
  std::vector<StepProgress> steps;

  bool operator==(const JobProgress&) const = default;
};

/// Nothing started yet.
JobProgress InitialProgress(const AcceptedJob& job);

bool HasEnded(WorkState state);
bool AllTasksInPhase(const StepProgress& step, TaskPhase phase);
bool AnyTaskInPhase(const JobProgress& progress, TaskPhase phase);
/// All steps that `step` comes after are done.
bool IsStepReady(const AcceptedJob& job, const JobProgress& progress, std::size_t step);

}  // namespace papayalift
