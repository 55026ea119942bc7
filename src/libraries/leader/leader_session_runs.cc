#include <algorithm>
#include <utility>

#include "libraries/journal/job_progress_codec.h"
#include "libraries/leader/leader_session.h"
#include "libraries/leader/run_progress.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// How long a minion gets no work after a task has failed on it.
constexpr Milliseconds kFailureBackoff{4'000};
/// Each consecutive failure doubles kFailureBackoff, at most this many times.
constexpr int kMaxBackoffDoublings = 3;
/// Once a job has failed on more minions than this, the fault is taken to be the job's own.
constexpr std::size_t kMaxPenalizedMinionsPerJob = 1;
constexpr Milliseconds kStallBackoff{5'000};
/// Weight of a new measurement in the moving average of a minion's speed.
constexpr double kSpeedSmoothingFactor = 0.2;

}  // namespace

void LeaderSession::OnEnded(const MinionId& minion_id, const EndedRun& end) {
  TrackedJob* const job = m_state.FindJob(end.task.job);
  TaskProgress* const task = m_state.FindTask(end.task);
  TrackedMinion& minion = *m_state.FindMinion(minion_id);
  if (job == nullptr || task == nullptr) {
    return;
  }
  static constexpr const char* kEndNames[] = {"done",   "failed", "stopped",
                                              "lapsed", "broken", "alone"};
  LogEvent(LogLevel::kInfo, "runs", "a run has ended")
      .Job(end.task.job)
      .Field("task", FormatTaskName(end.task))
      .Field("attempt", end.attempt.value())
      .Field("minion", minion_id.text())
      .Field("how", kEndNames[static_cast<std::size_t>(end.kind)])
      .Write();
  m_context.metrics.Increment(std::string("papayalift_runs_ended_total{how=\"") +
                              kEndNames[static_cast<std::size_t>(end.kind)] + "\"}");
  job->unsaved_ends.push_back(EndReference{minion_id, minion.incarnation, end.number});
  minion.unsaved_ends.insert(end.number);
  RecordCheckpoint(*job, end.task, end.checkpoint);
  if (end.kind == EndKind::kDone) {
    minion.health.consecutive_failures = 0;
    HandleTaskDone(*job, end);
  } else {
    if (end.kind == EndKind::kFailed) {
      HandleTaskFailure(*job, minion_id, end);
    }
    if (task->phase == TaskPhase::kPlaced && task->attempt == end.attempt) {
      ReturnToWaiting(*job, end.task);
    }
  }
  EndJobIfSettled(*job);
  m_journal->MarkDirty(*job);
  SchedulePlan();
}

void LeaderSession::HandleTaskDone(TrackedJob& job, const EndedRun& end) {
  const std::size_t step = static_cast<std::size_t>(end.task.step);
  const auto finish = [this, &end](TaskProgress& task, const TaskName& name) {
    if (task.phase == TaskPhase::kPlaced && task.attempt != end.attempt) {
      if (TrackedRun* const other = m_state.FindRun(name, task.attempt); other != nullptr) {
        m_supervisor->Stop(*other, "an earlier attempt is done");
      }
    }
    task.phase = TaskPhase::kDone;
  };
  if (job.accepted.work.steps[step].kind != WorkStepKind::kGang) {
    finish(*m_state.FindTask(end.task), end.task);
    return;
  }
  // The members of a gang complete together, so one completed member completes all.
  std::vector<TaskProgress>& tasks = job.progress.steps[step].tasks;
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    finish(tasks[index],
           TaskName{end.task.job, end.task.occurrence, end.task.step, static_cast<int>(index)});
  }
}

void LeaderSession::PenalizeMinion(TrackedMinion& minion, const TrackedJob& job) {
  if (job.failed_on.size() > kMaxPenalizedMinionsPerJob) {
    return;
  }
  const int doublings = std::min(minion.health.consecutive_failures++, kMaxBackoffDoublings);
  minion.health.avoid_until = Now() + kFailureBackoff * (1 << doublings);
}

void LeaderSession::HandleTaskFailure(TrackedJob& job, const MinionId& minion_id,
                                      const EndedRun& end) {
  TrackedMinion& minion = *m_state.FindMinion(minion_id);
  job.failed_on.insert(minion_id);
  PenalizeMinion(minion, job);
  const std::size_t step = static_cast<std::size_t>(end.task.step);
  const bool is_gang = job.accepted.work.steps[step].kind == WorkStepKind::kGang;
  int failures = 0;
  std::vector<TaskProgress>& tasks = job.progress.steps[step].tasks;
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    if ((is_gang || static_cast<int>(index) == end.task.index) &&
        end.attempt > tasks[index].last_failed) {
      tasks[index].last_failed = end.attempt;
      failures = std::max(failures, ++tasks[index].failures);
    }
  }
  if (is_gang) {
    StopBrokenGang(job, end.task.step, "a member of the gang has failed");
  }
  if (failures >= job.accepted.max_attempts && !HasEnded(job.progress.state) && !job.is_cancelled) {
    EndJob(job, WorkState::kFailed, "a task has failed as often as its queue allows");
    StopJob(job, "the job has failed");
  }
}

void LeaderSession::RecordCheckpoint(TrackedJob& job, const TaskName& task,
                                     const std::string& checkpoint) {
  if (checkpoint.empty()) {
    return;
  }
  const std::size_t step = static_cast<std::size_t>(task.step);
  if (job.accepted.work.steps[step].kind != WorkStepKind::kGang) {
    m_state.FindTask(task)->checkpoint = checkpoint;
    return;
  }
  // A checkpoint of one member is valid for the whole gang, and all members must start from the
  // same one.
  for (TaskProgress& member : job.progress.steps[step].tasks) {
    member.checkpoint = checkpoint;
  }
}

void LeaderSession::ReturnToWaiting(TrackedJob& job, const TaskName& name) {
  TaskProgress& task = *m_state.FindTask(name);
  task.phase = TaskPhase::kWaiting;
  task.minion = MinionId();
  task.incarnation = MinionIncarnation();
  task.address.clear();
  task.announced_end.reset();
  job.ready_since.resize(job.progress.steps.size());
  job.ready_since[static_cast<std::size_t>(name.step)].reset();
}

void LeaderSession::OnLost(const TrackedRun& run, RunLoss loss, const std::string& reason) {
  LogEvent event(LogLevel::kWarning, "runs",
                 loss == RunLoss::kNeverStarted ? "a run never started" : "a run is lost");
  event.Job(run.task.job)
      .Field("task", FormatTaskName(run.task))
      .Field("attempt", run.attempt.value())
      .Field("minion", run.minion.text())
      .Field("confirmed", run.answered_at.has_value() ? 1 : 0)
      .Field("incarnation", run.incarnation.value())
      .Field("end_announced", m_state.planned_ends.IsAnnounced(run.minion, run.incarnation) ? 1 : 0)
      .Reason(reason);
  if (run.orders_sent > 0) {
    event.Field("since_order_ms", (Now() - run.ordered_at).count());
  }
  if (const std::optional<MinionSilence>& silence = m_state.FindMinion(run.minion)->silence;
      silence.has_value()) {
    event.Field("silent_ms", (Now() - silence->since).count());
  }
  event.Field("late_ms", m_context.timers.Lateness().count())
      .Field("unheard_ms", (Now() - m_context.timers.HeardUntil()).count())
      .Field("term_ms", (Now() - m_state.elected_at).count())
      .Write();
  if (loss == RunLoss::kRunLost) {
    m_context.metrics.Increment("papayalift_runs_lost_total{reason=\"" + reason + "\"}");
  }
  TrackedJob* const job = m_state.FindJob(run.task.job);
  TaskProgress* const task = m_state.FindTask(run.task);
  if (job == nullptr || task == nullptr) {
    return;
  }
  if (task->phase == TaskPhase::kPlaced && task->attempt == run.attempt) {
    const TrackedMinion& minion = *m_state.FindMinion(run.minion);
    const bool is_suspect =
        loss == RunLoss::kRunLost && (m_crash_attribution.RecordLoss(m_state, minion, run, Now()) ||
                                      MustWaitAfterLateLoss(minion, run, *task));
    // NOTE: a suspect stays placed until it is judged, so that a later leader suspects it as well.
    if (!is_suspect || job->is_cancelled) {
      ReturnToWaiting(*job, run.task);
    }
    const std::size_t step = static_cast<std::size_t>(run.task.step);
    if (job->accepted.work.steps[step].kind == WorkStepKind::kGang) {
      StopBrokenGang(*job, run.task.step, "a member of the gang was lost");
    }
    m_journal->MarkDirty(*job);
  }
  EndJobIfSettled(*job);
  SchedulePlan();
}

void LeaderSession::OnStarted(const TrackedRun& run) {
  if (m_start_window.has_held_back()) {
    SchedulePlan();
  }
  TrackedJob* const job = m_state.FindJob(run.task.job);
  if (job != nullptr && !job->has_started) {
    job->has_started = true;
    if (job->has_waiting_key) {
      m_journal->MarkDirty(*job);
    }
  }
}

void LeaderSession::OnActive(TrackedRun& run, const ActiveRun& active) {
  TrackedJob* const job = m_state.FindJob(run.task.job);
  TaskProgress* const task = m_state.FindTask(run.task);
  if (job != nullptr && task != nullptr && task->attempt == run.attempt) {
    if (task->phase == TaskPhase::kPlaced && task->incarnation != run.incarnation) {
      task->incarnation = run.incarnation;
      task->announced_end.reset();
      m_journal->MarkDirty(*job);
      StoreAnnouncement(run);
    }
    RecordCheckpoint(*job, run.task, active.checkpoint);
    ForgetLateCrashesIfOutlived(*job, run);
    RecordDuration(*job, run);
    StopIfStalled(*job, run);
  }
}

void LeaderSession::StopIfStalled(TrackedJob& job, TrackedRun& run) {
  const StepSpec& step = job.accepted.work.steps[static_cast<std::size_t>(run.task.step)];
  TrackedMinion& minion = *m_state.FindMinion(run.minion);
  if (const std::optional<double> speed = MeasureSpeed(run, step, Now())) {
    minion.health.speed += (*speed - minion.health.speed) * kSpeedSmoothingFactor;
    minion.health.speed_measured_at = Now();
  }
  const auto stalls = job.stalls.find(run.task);
  const int former_stalls = stalls == job.stalls.end() ? 0 : stalls->second;
  if (CheckProgress(run, step, former_stalls, Now()) == ProgressStatus::kProgressing ||
      run.stop_wanted || job.is_cancelled) {
    return;
  }
  ++job.stalls[run.task];
  minion.health.avoid_until = Now() + kStallBackoff;
  m_context.metrics.Increment("papayalift_runs_given_up_total");
  m_supervisor->Stop(run, "it stands still");
}

void LeaderSession::StopStep(TrackedJob& job, int step, const std::string& reason) {
  const std::vector<TaskProgress>& tasks = job.progress.steps[static_cast<std::size_t>(step)].tasks;
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    const TaskName name{job.accepted.id, 0, step, static_cast<int>(index)};
    TrackedRun* const run = m_state.FindRun(name, tasks[index].attempt);
    if (run != nullptr && tasks[index].phase == TaskPhase::kPlaced) {
      m_supervisor->Stop(*run, reason);
    }
  }
}

void LeaderSession::StopBrokenGang(TrackedJob& job, int step, const std::string& reason) {
  const std::vector<TaskProgress>& tasks = job.progress.steps[static_cast<std::size_t>(step)].tasks;
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    const TaskName name{job.accepted.id, 0, step, static_cast<int>(index)};
    if (TrackedRun* const run = m_state.FindRun(name, tasks[index].attempt); run != nullptr) {
      run->is_gang_broken = true;
    }
  }
  StopStep(job, step, reason);
}

void LeaderSession::StopJob(TrackedJob& job, const std::string& reason) {
  for (std::size_t step = 0; step < job.progress.steps.size(); ++step) {
    StopStep(job, static_cast<int>(step), reason);
  }
}

void LeaderSession::Cancel(TrackedJob& job) {
  if (job.accepted.id.empty() || HasEnded(job.progress.state)) {
    return;
  }
  LogEvent(LogLevel::kInfo, "leader", "cancelling a job").Job(job.accepted.id).Write();
  StopJob(job, "the job is cancelled");
  ReleaseSuspects(job);
  EndJobIfSettled(job);
}

void LeaderSession::EndJobIfSettled(TrackedJob& job) {
  if (HasEnded(job.progress.state)) {
    return;
  }
  if (job.is_cancelled) {
    // This also applies if all tasks are done by now: the cancellation was stored before that.
    if (!AnyTaskInPhase(job.progress, TaskPhase::kPlaced)) {
      EndJob(job, WorkState::kCancelled, "cancelled, and no task is running");
    }
    return;
  }
  const bool is_done =
      std::all_of(job.progress.steps.begin(), job.progress.steps.end(),
                  [](const StepProgress& step) { return AllTasksInPhase(step, TaskPhase::kDone); });
  if (is_done) {
    EndJob(job, WorkState::kDone, "all tasks are done");
  }
}

void LeaderSession::EndJob(TrackedJob& job, WorkState state, const std::string& reason) {
  job.progress.state = state;
  job.progress.ended_at = m_context.timers.clock().WallNow();
  job.ended_since = Now();
  LogEvent(LogLevel::kInfo, "leader", "a job has ended")
      .Job(job.accepted.id)
      .Field("state", WorkStateText(state))
      .Reason(reason)
      .Field("known_ms", (Now() - job.known_since).count())
      .Write();
  m_context.metrics.Increment("papayalift_jobs_ended_total{state=\"" + WorkStateText(state) +
                              "\"}");
  m_journal->MarkDirty(job);
}

}  // namespace papayalift
