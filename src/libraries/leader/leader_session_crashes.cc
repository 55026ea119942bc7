#include "libraries/journal/job_progress_codec.h"
#include "libraries/leader/leader_session.h"
#include "libraries/log/log_event.h"

namespace papayalift {

void LeaderSession::JudgeSuspects() {
  for (const JudgedRun& run : m_crash_attribution.TakeJudged(m_state, Now())) {
    TrackedJob* const job = m_state.FindJob(run.task.job);
    TaskProgress* const task = m_state.FindTask(run.task);
    if (job == nullptr || task == nullptr) {
      continue;
    }
    if (task->phase == TaskPhase::kPlaced && task->attempt == run.attempt &&
        m_state.FindRun(run.task, run.attempt) == nullptr) {
      ReturnToWaiting(*job, run.task);
    }
    const bool is_over = HasEnded(job->progress.state) || job->is_cancelled;
    const bool is_by_start =
        run.cause == CrashCause::kOneJob || run.cause == CrashCause::kUncertain;
    if (is_by_start && !is_over && task->phase != TaskPhase::kDone) {
      RecordCrash(*job, *task, run);
    }
    EndJobIfSettled(*job);
    m_journal->MarkDirty(*job);
    SchedulePlan();
  }
}

void LeaderSession::ReleaseSuspects(TrackedJob& job) {
  for (std::size_t step = 0; step < job.progress.steps.size(); ++step) {
    const std::vector<TaskProgress>& tasks = job.progress.steps[step].tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
      const TaskName name{job.accepted.id, 0, static_cast<int>(step), static_cast<int>(index)};
      if (tasks[index].phase == TaskPhase::kPlaced &&
          m_state.FindRun(name, tasks[index].attempt) == nullptr) {
        ReturnToWaiting(job, name);
      }
    }
  }
}

void LeaderSession::RecordCrash(TrackedJob& job, TaskProgress& task, const JudgedRun& run) {
  if (task.crashes == 0) {
    task.first_crash_address = run.address;
  }
  ++task.crashes;
  const bool is_same_machine = !run.address.empty() && run.address == task.first_crash_address;
  task.crashes_at_first_address += is_same_machine ? 1 : 0;
  task.crashes_of_one_job += run.cause == CrashCause::kOneJob ? 1 : 0;
  LogEvent(LogLevel::kWarning, "runs", "a minion crashed when it started a task")
      .Job(run.task.job)
      .Field("task", FormatTaskName(run.task))
      .Field("attempt", run.attempt.value())
      .Field("minion", run.minion.text())
      .Field("crashes", task.crashes)
      .Field("crashes_of_one_job", task.crashes_of_one_job)
      .Field("address", run.address)
      .Field("crashes_at_first_address", task.crashes_at_first_address)
      .Write();
  m_context.metrics.Increment("papayalift_task_crashes_total");
  if (IsCrashLooping(task)) {
    EndJob(job, WorkState::kFailed, "a task crashes the minions that start it");
    StopJob(job, "the job has failed");
  }
}

}  // namespace papayalift
