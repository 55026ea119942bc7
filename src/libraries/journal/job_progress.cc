#include "libraries/journal/job_progress.h"

#include <algorithm>

namespace papayalift {

JobProgress InitialProgress(const AcceptedJob& job) {
  JobProgress progress;
  for (const StepSpec& step : job.work.steps) {
    progress.steps.push_back(
        StepProgress{std::vector<TaskProgress>(static_cast<std::size_t>(step.count))});
  }
  return progress;
}

bool HasEnded(WorkState state) {
  return state == WorkState::kDone || state == WorkState::kFailed || state == WorkState::kCancelled;
}

bool AllTasksInPhase(const StepProgress& step, TaskPhase phase) {
  return std::all_of(step.tasks.begin(), step.tasks.end(),
                     [phase](const TaskProgress& task) { return task.phase == phase; });
}

bool AnyTaskInPhase(const JobProgress& progress, TaskPhase phase) {
  return std::any_of(
      progress.steps.begin(), progress.steps.end(), [phase](const StepProgress& step) {
        return std::any_of(step.tasks.begin(), step.tasks.end(),
                           [phase](const TaskProgress& task) { return task.phase == phase; });
      });
}

}  // namespace papayalift
