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

bool IsStepReady(const AcceptedJob& job, const JobProgress& progress, std::size_t step) {
  const std::vector<int>& after = job.work.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&progress](int earlier) {
    return AllTasksInPhase(progress.steps[static_cast<std::size_t>(earlier)], TaskPhase::kDone);
  });
}

}  // namespace papayalift
