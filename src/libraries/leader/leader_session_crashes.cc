#include <set>
#include <utility>

#include "libraries/journal/job_progress_codec.h"
#include "libraries/leader/leader_session.h"
#include "libraries/leader/process_fate.h"
#include "libraries/leader/task_isolation.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

void LogCrash(const TaskProgress& task, const JudgedRun& run) {
  LogEvent(LogLevel::kWarning, "runs",
           run.cause == CrashCause::kLate ? "a minion crashed while it ran a task"
                                          : "a minion crashed when it started a task")
      .Job(run.task.job)
      .Field("task", FormatTaskName(run.task))
      .Field("attempt", run.attempt.value())
      .Field("minion", run.minion.text())
      .Field("crashes", task.crashes)
      .Field("crashes_of_one_job", task.crashes_of_one_job)
      .Field("late_crashes", task.late_crashes)
      .Field("ran_for_ms", run.ran_for.value_or(Milliseconds(0)).count())
      .Field("address", run.address)
      .Field("crashes_at_first_address", task.crashes_at_first_address)
      .Field("late_crashes_at_first_address", task.late_crashes_at_first_address)
      .Write();
}

void LogExcusedLoss(const JudgedRun& run) {
  LogEvent(LogLevel::kInfo, "runs", "the loss of a run does not speak against its task")
      .Job(run.task.job)
      .Field("task", FormatTaskName(run.task))
      .Field("attempt", run.attempt.value())
      .Field("minion", run.minion.text())
      .Field("incarnation", run.incarnation.value())
      .Reason(run.cause == CrashCause::kPlanned ? "its process had announced its end"
                                                : "other minions of the zone were lost with it")
      .Write();
}

}  // namespace

void LeaderSession::JudgeSuspects(JudgementScope scope) {
  for (const JudgedRun& run : m_crash_attribution.TakeJudged(m_state, scope, Now())) {
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
    if (!is_over && task->phase != TaskPhase::kDone) {
      ApplyJudgement(*job, *task, run);
    }
    EndJobIfSettled(*job);
    m_journal->MarkDirty(*job);
    SchedulePlan();
  }
}

void LeaderSession::ApplyJudgement(TrackedJob& job, TaskProgress& task, const JudgedRun& run) {
  if (run.cause == CrashCause::kOpen) {
    if (!run.is_counted) {
      KeepOpen(task, run);
    }
  } else if (run.cause != CrashCause::kOutage && run.cause != CrashCause::kPlanned) {
    RecordCrash(job, task, run);
  } else {
    LogExcusedLoss(run);
    if (run.is_counted) {
      UncountLateCrash(task, run.address);
    }
  }
}

void LeaderSession::KeepOpen(TaskProgress& task, const JudgedRun& run) {
  LogEvent(LogLevel::kInfo, "runs", "a run is lost with a minion that is out of reach")
      .Job(run.task.job)
      .Field("task", FormatTaskName(run.task))
      .Field("attempt", run.attempt.value())
      .Field("minion", run.minion.text())
      .Field("incarnation", run.incarnation.value())
      .Field("open_losses", static_cast<std::int64_t>(task.open_losses.size()) + 1)
      .Reason("nothing shows yet whether its process has crashed")
      .Write();
  AddOpenLoss(
      task,
      OpenLoss{run.minion, run.incarnation, run.address, run.cause_if_ended == CrashCause::kOneJob,
               run.cause_if_ended == CrashCause::kLate, run.ran_for.value_or(Milliseconds(0))});
  m_tasks_with_open_losses.insert(run.task);
}

void LeaderSession::ResolveOpenLosses() {
  if (m_recall_until.has_value()) {
    return;
  }
  for (const TaskName& name : std::set<TaskName>(m_tasks_with_open_losses)) {
    TrackedJob* const job = m_state.FindJob(name.job);
    TaskProgress* const task = m_state.FindTask(name);
    if (job == nullptr || task == nullptr || HasEnded(job->progress.state) || job->is_cancelled ||
        task->phase == TaskPhase::kDone) {
      m_tasks_with_open_losses.erase(name);
      continue;
    }
    ResolveOpenLossesOf(*job, name, *task);
    if (task->open_losses.empty()) {
      m_tasks_with_open_losses.erase(name);
    }
  }
}

void LeaderSession::ResolveOpenLossesOf(TrackedJob& job, const TaskName& name, TaskProgress& task) {
  int unaccounted_losses = 0;
  for (const OpenLoss& loss : std::exchange(task.open_losses, {})) {
    if (m_state.planned_ends.IsAnnounced(loss.minion, loss.incarnation)) {
      m_journal->MarkDirty(job);
      SchedulePlan();
      continue;
    }
    const ProcessFate fate =
        FateOfProcess(m_state, MinionProcess{loss.minion, loss.incarnation, loss.address});
    if (fate == ProcessFate::kUnknown) {
      task.open_losses.push_back(loss);
      unaccounted_losses += IsUnaccountedFor(m_state, loss.minion) ? 1 : 0;
      continue;
    }
    m_journal->MarkDirty(job);
    SchedulePlan();
    if (fate == ProcessFate::kEnded) {
      JudgedRun run{name, task.attempt, loss.minion, loss.address, CrashCause::kUncertain};
      run.cause = loss.is_late         ? CrashCause::kLate
                  : loss.is_of_one_job ? CrashCause::kOneJob
                                       : CrashCause::kUncertain;
      if (loss.ran_for.count() > 0) {
        run.ran_for = loss.ran_for;
      }
      RecordCrash(job, task, run);
    }
  }
  if (!HasEnded(job.progress.state) && IsLosingMinions(task, unaccounted_losses)) {
    EndJob(job, WorkState::kFailed, "a task's minions are gone for good, each after its start");
    StopJob(job, "the job has failed");
  }
}

bool LeaderSession::MustWaitAfterLateLoss(const TrackedMinion& minion, const TrackedRun& run,
                                          TaskProgress& task) {
  // NOTE: while the changes of the registry before this term are being read, nothing is counted:
  // the process may have announced its end.
  const bool is_suspect = IsSuspect(task) || m_recall_until.has_value();
  const std::optional<LateLoss> loss =
      m_crash_attribution.RecordLateLoss(m_state, minion, run, !is_suspect, Now());
  if (loss.has_value() && loss->has_ended && !is_suspect) {
    CountLateCrash(task, *loss);
  }
  return loss.has_value() && is_suspect;
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
  if (run.cause == CrashCause::kLate) {
    if (!run.is_counted) {
      CountLateCrash(task, LateLoss{run.address, run.ran_for});
    }
  } else {
    if (task.crashes == 0 && task.first_crash_address != run.address) {
      task.first_crash_address = run.address;
      task.late_crashes_at_first_address = 0;
    }
    ++task.crashes;
    const bool is_same_machine = !run.address.empty() && run.address == task.first_crash_address;
    task.crashes_at_first_address += is_same_machine ? 1 : 0;
    task.crashes_of_one_job += run.cause == CrashCause::kOneJob ? 1 : 0;
    m_context.metrics.Increment("papayalift_task_crashes_total");
  }
  LogCrash(task, run);
  if (IsCrashLooping(task)) {
    EndJob(job, WorkState::kFailed, "a task crashes the minions that start it");
    StopJob(job, "the job has failed");
  }
}

void LeaderSession::ForgetLateCrashesIfOutlived(TrackedJob& job, const TrackedRun& run) {
  TaskProgress& task = *m_state.FindTask(run.task);
  if (task.late_crashes == 0 || Now() - run.running_since.value_or(Now()) < kMaxLateCrash) {
    return;
  }
  ForgetLateCrashes(task);
  m_journal->MarkDirty(job);
}

}  // namespace papayalift
