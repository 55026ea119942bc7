#include "libraries/leader/leader_session.h"

#include <algorithm>
#include <utility>

#include "libraries/journal/accepted_job_codec.h"
#include "libraries/journal/job_progress_codec.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/leader/plan_snapshot_maker.h"
#include "libraries/leader/run_progress.h"
#include "libraries/log/log_event.h"
#include "libraries/planner/plan_starts.h"

namespace papayalift {

namespace {

constexpr Milliseconds kFeedWait{2'000};
constexpr Milliseconds kFeedRetryPause{200};
/// Events that come close together are planned for at once.
constexpr Milliseconds kPlanDelay{3};
constexpr int kPausePerPlanTime = 4;
constexpr Milliseconds kLongestPlanDelay{200};
constexpr Milliseconds kTickInterval{400};
/// A minion on which a task has just failed gets no work unless nothing else has room.
constexpr Milliseconds kAvoidAfterFailure{4'000};
/// Each further failure in a row doubles that.
constexpr int kMostDoublings = 3;
constexpr std::size_t kMinionsBeforeTheJobIsBlamed = 1;
constexpr Milliseconds kAvoidAfterStall{5'000};
/// Of a new measurement of a minion's speed against what was known.
constexpr double kSpeedWeight = 0.2;
/// A placement older than this when its write is answered is not ordered any more.
constexpr Milliseconds kOldestPlacement{1'500};

void LogReadFailure(const std::string& prefix, const std::string& error) {
  LogEvent(LogLevel::kWarning, "leader", "the store could not be read; trying again")
      .Field("prefix", prefix)
      .Reason(error)
      .Write();
}

}  // namespace

std::shared_ptr<LeaderSession> LeaderSession::Create(const LeaderContext& context,
                                                     const LeaderSettings& settings, Term term) {
  return std::shared_ptr<LeaderSession>(new LeaderSession(context, settings, term));
}

LeaderSession::LeaderSession(const LeaderContext& context, const LeaderSettings& settings,
                             Term term)
    : m_context(context), m_settings(settings) {
  m_state.term = term;
  m_state.elected_at = Now();
  m_feeds = {
      Feed{kAcceptedPrefix, &LeaderSession::TakeAcceptedItems, &LeaderSession::TakeAcceptedChange},
      Feed{context.directory.MinionPrefix(), &LeaderSession::TakeMinionItems,
           &LeaderSession::TakeMinionChange},
      Feed{context.directory.OperatorPrefix(), &LeaderSession::TakeOperatorItems,
           &LeaderSession::TakeOperatorChange}};
}

void LeaderSession::Start() {
  const std::weak_ptr<LeaderSession> weak = weak_from_this();
  m_journal = std::make_shared<JobJournal>(
      m_context.timers, m_context.store, m_context.directory, m_context.view, m_state,
      JournalCallbacks{
          [this](TrackedJob& job, const ProgressWrite& write) { OnStored(job, write); },
          [this](TrackedJob& job, const ProgressWrite& write, const std::vector<StoreItem>& items) {
            OnConflict(job, write, items);
          },
          [this](const std::string& reason) { m_context.election.StepDown(reason); },
          [this](Milliseconds sent_at) { m_context.election.NoteConfirmed(sent_at); }});
  m_supervisor = std::make_shared<RunSupervisor>(
      m_context.timers, m_context.minions, m_state, m_settings.supervisor,
      [this] { return m_context.election.confirmed_at(); },
      SupervisorCallbacks{
          [this](const MinionId& minion, const EndedRun& end) { OnEnded(minion, end); },
          [this](const TrackedRun& run, RunLoss loss, const std::string& reason) {
            OnLost(run, loss, reason);
          },
          [this](const TrackedRun& run) { OnStarted(run); },
          [this](TrackedRun& run, const ActiveRun& active) { OnActive(run, active); },
          [this] { m_context.election.StepDown("a minion has seen a higher token"); },
          [this] { PlanSoon(); }});
  LoadProgress();
  for (std::size_t index = 0; index < m_feeds.size(); ++index) {
    LoadFeed(index);
  }
}

void LeaderSession::Close() {
  m_is_closed = true;
  m_journal->Close();
  m_supervisor->Close();
}

// --- what is read and watched ---

void LeaderSession::LoadFeed(std::size_t index) {
  m_context.store.ReadAll(m_feeds[index].prefix,
                          [weak = weak_from_this(), index](const ReadAnswer& answer) {
                            const Self self = weak.lock();
                            if (self != nullptr && !self->m_is_closed) {
                              self->OnFeedLoaded(index, answer);
                            }
                          });
}

void LeaderSession::OnFeedLoaded(std::size_t index, const ReadAnswer& answer) {
  Feed& feed = m_feeds[index];
  if (answer.result != ReadResult::kOk) {
    LogReadFailure(feed.prefix, answer.error);
    RetryLater([index](LeaderSession& self) { self.LoadFeed(index); });
    return;
  }
  (this->*feed.take_items)(answer);
  feed.is_loaded = true;
  WatchFeed(index, answer.at);
  BeginIfReady();
  PlanSoon();
}

void LeaderSession::WatchFeed(std::size_t index, Revision after) {
  m_context.store.Watch(m_feeds[index].prefix, after, kFeedWait,
                        [weak = weak_from_this(), index, after](const WatchAnswer& answer) {
                          const Self self = weak.lock();
                          if (self != nullptr && !self->m_is_closed) {
                            self->OnFeedChanged(index, after, answer);
                          }
                        });
}

void LeaderSession::OnFeedChanged(std::size_t index, Revision after, const WatchAnswer& answer) {
  const Feed& feed = m_feeds[index];
  if (answer.result == WatchResult::kForgotten) {
    LogEvent(LogLevel::kWarning, "leader", "the store has forgotten changes; reading anew")
        .Field("prefix", feed.prefix)
        .Write();
    LoadFeed(index);
    return;
  }
  if (answer.result == WatchResult::kFailed) {
    LogReadFailure(feed.prefix, answer.error);
    RetryLater([index, after](LeaderSession& self) { self.WatchFeed(index, after); });
    return;
  }
  for (const WatchedChange& change : answer.changes) {
    (this->*feed.take_change)(change);
  }
  if (!answer.changes.empty()) {
    BeginIfReady();
    PlanSoon();
  }
  WatchFeed(index, std::max(after, answer.at));
}

void LeaderSession::RetryLater(std::function<void(LeaderSession&)> action) {
  m_context.timers.After(kFeedRetryPause, [weak = weak_from_this(), action = std::move(action)] {
    const Self self = weak.lock();
    if (self != nullptr && !self->m_is_closed) {
      action(*self);
    }
  });
}

void LeaderSession::LoadProgress() {
  m_context.store.ReadAll(kProgressPrefix, [weak = weak_from_this()](const ReadAnswer& answer) {
    const Self self = weak.lock();
    if (self == nullptr || self->m_is_closed) {
      return;
    }
    if (answer.result != ReadResult::kOk) {
      LogReadFailure(kProgressPrefix, answer.error);
      self->RetryLater([](LeaderSession& session) { session.LoadProgress(); });
      return;
    }
    self->TakeProgress(answer);
    self->m_progress_is_loaded = true;
    self->BeginIfReady();
  });
}

void LeaderSession::TakeProgress(const ReadAnswer& answer) {
  for (const StoreItem& item : answer.items) {
    const std::optional<JobId> id = ParseProgressKey(item.key);
    absl::StatusOr<JobProgress> progress = DecodeJobProgress(item.value);
    if (!id.has_value() || !progress.ok()) {
      LogEvent(LogLevel::kError, "leader", "a progress record can't be read")
          .Field("key", item.key)
          .Reason(progress.ok() ? "no job in its key" : std::string(progress.status().message()))
          .Write();
      continue;
    }
    TrackedJob& job = m_state.jobs[*id];
    job.progress = *std::move(progress);
    job.progress_revision = item.revision;
  }
}

void LeaderSession::TakeAcceptedItems(const ReadAnswer& answer) {
  for (const StoreItem& item : answer.items) {
    TakeAccepted(item);
  }
}

void LeaderSession::TakeAcceptedChange(const WatchedChange& change) {
  if (change.kind == WriteKind::kPut) {
    TakeAccepted(change.item);
  }
}

void LeaderSession::TakeAccepted(const StoreItem& item) {
  const std::optional<AcceptedKeyName> name = ParseAcceptedKey(item.key);
  if (!name.has_value()) {
    return;
  }
  if (name->kind == AcceptedKeyKind::kCancel) {
    TrackedJob& job = m_state.jobs[name->job];
    if (!job.is_cancelled) {
      job.is_cancelled = true;
      if (m_has_begun) {
        Cancel(job);
      }
    }
    return;
  }
  absl::StatusOr<AcceptedJob> accepted = DecodeAcceptedJob(item.value);
  if (!accepted.ok()) {
    LogEvent(LogLevel::kError, "leader", "an accepted job can't be read")
        .Job(name->job)
        .Reason(std::string(accepted.status().message()))
        .Write();
    return;
  }
  TrackedJob& job = m_state.jobs[name->job];
  if (!job.accepted.id.empty()) {
    return;
  }
  job.accepted = *std::move(accepted);
  job.known_since = Now();
  if (job.progress_revision.value() == 0) {
    job.progress = NewProgress(job.accepted);
  }
}

void LeaderSession::TakeMinionItems(const ReadAnswer& answer) {
  for (auto& [id, minion] : m_state.minions) {
    const std::string key = m_context.directory.MinionKey(id);
    const bool is_listed = std::any_of(answer.items.begin(), answer.items.end(),
                                       [&key](const StoreItem& item) { return item.key == key; });
    if (!is_listed && minion.entry.has_value()) {
      DropMinion(id);
    }
  }
  for (const StoreItem& item : answer.items) {
    TakeMinion(item);
  }
}

void LeaderSession::TakeMinionChange(const WatchedChange& change) {
  if (change.kind == WriteKind::kDelete) {
    DropMinion(m_context.directory.MinionOfKey(change.item.key));
  } else {
    TakeMinion(change.item);
  }
}

void LeaderSession::TakeMinion(const StoreItem& item) {
  const MinionId id = m_context.directory.MinionOfKey(item.key);
  absl::StatusOr<MinionEntry> entry = m_context.directory.DecodeMinion(id, item.value);
  if (!entry.ok()) {
    LogEvent(LogLevel::kWarning, "leader", "a registration names no minion to use")
        .Field("minion", id.text())
        .Reason(std::string(entry.status().message()))
        .Write();
    DropMinion(id);
    return;
  }
  TrackedMinion& minion = m_state.minions[id];
  if (item.revision < minion.entry_revision) {
    return;
  }
  if (minion.entry.has_value() && minion.entry->state != entry->state) {
    LogEvent(LogLevel::kInfo, "leader", "minion changed its state")
        .Field("minion", id.text())
        .Field("state", entry->state == MinionState::kReady ? "ready" : "draining")
        .Write();
  }
  const bool is_new_life = minion.life != entry->life;
  minion.id = id;
  minion.address = entry->address;
  minion.entry = *std::move(entry);
  minion.entry_revision = item.revision;
  if (is_new_life && m_has_begun) {
    m_supervisor->Hold(minion);
  }
}

void LeaderSession::DropMinion(const MinionId& id) {
  TrackedMinion* const minion = m_state.FindMinion(id);
  if (minion != nullptr && minion->entry.has_value()) {
    minion->entry.reset();
    LogEvent(LogLevel::kInfo, "leader", "minion left the registry")
        .Field("minion", id.text())
        .Field("runs", static_cast<std::int64_t>(minion->runs.size()))
        .Write();
  }
}

void LeaderSession::TakeOperatorItems(const ReadAnswer& answer) {
  std::set<ZoneId> evacuated;
  for (const StoreItem& item : answer.items) {
    if (item.key == m_context.directory.ManifestKey()) {
      m_context.view.Adopt(item);
    } else if (const std::optional<ZoneId> zone = m_context.directory.EvacuatedZone(item.key)) {
      evacuated.insert(*zone);
    }
  }
  m_state.evacuated = std::move(evacuated);
}

void LeaderSession::TakeOperatorChange(const WatchedChange& change) {
  if (change.item.key == m_context.directory.ManifestKey()) {
    if (change.kind == WriteKind::kPut) {
      m_context.view.Adopt(change.item);
    }
    return;
  }
  const std::optional<ZoneId> zone = m_context.directory.EvacuatedZone(change.item.key);
  if (!zone.has_value()) {
    return;
  }
  LogEvent(LogLevel::kInfo, "leader",
           change.kind == WriteKind::kPut ? "zone evacuated" : "zone taken back")
      .Zone(*zone)
      .Field("revision", change.item.revision.value())
      .Write();
  if (change.kind == WriteKind::kPut) {
    m_state.evacuated.insert(*zone);
  } else {
    m_state.evacuated.erase(*zone);
  }
}

bool LeaderSession::IsReady() const {
  return m_progress_is_loaded && m_context.view.manifest() != nullptr &&
         std::all_of(m_feeds.begin(), m_feeds.end(),
                     [](const Feed& feed) { return feed.is_loaded; });
}

void LeaderSession::BeginIfReady() {
  if (m_has_begun || !IsReady()) {
    return;
  }
  m_has_begun = true;
  std::int64_t unended = 0;
  for (auto& [id, job] : m_state.jobs) {
    if (job.accepted.id.empty()) {
      continue;
    }
    InheritRuns(job);
    unended += HasEnded(job.progress.state) ? 0 : 1;
  }
  LogEvent(LogLevel::kInfo, "leader", "leading")
      .Field("token", m_state.term.token.value())
      .Field("jobs", static_cast<std::int64_t>(m_state.jobs.size()))
      .Field("unended", unended)
      .Field("minions", static_cast<std::int64_t>(m_state.minions.size()))
      .Field("reading_ms", (Now() - m_state.elected_at).count())
      .Write();
  for (auto& [id, minion] : m_state.minions) {
    if (minion.entry.has_value()) {
      m_supervisor->Hold(minion);
    }
  }
  for (auto& [id, job] : m_state.jobs) {
    if (job.is_cancelled && !job.accepted.id.empty()) {
      Cancel(job);
    } else if (HasEnded(job.progress.state)) {
      StopJob(job, "the job has ended");
    }
  }
  Tick();
}

void LeaderSession::InheritRuns(TrackedJob& job) {
  // It may be gone already; removing it again does no harm.
  job.has_waiting_key = !HasEnded(job.progress.state);
  if (HasEnded(job.progress.state)) {
    job.ended_since = Now();
  }
  for (std::size_t step = 0; step < job.progress.steps.size(); ++step) {
    const std::vector<TaskProgress>& tasks = job.progress.steps[step].tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
      const TaskProgress& task = tasks[index];
      if (task.phase != TaskPhase::kPlaced) {
        continue;
      }
      TrackedMinion& minion = m_state.minions[task.minion];
      minion.id = task.minion;
      TrackedRun run;
      run.task = TaskName{job.accepted.id, 0, static_cast<int>(step), static_cast<int>(index)};
      run.attempt = task.attempt;
      run.minion = task.minion;
      run.life = task.life;
      run.needs = job.accepted.work.steps[step].needs;
      run.state = RunState::kOrdered;
      run.decided_at = Now();
      m_state.AddRun(minion, std::move(run));
    }
  }
}

// --- what becomes of runs ---

void LeaderSession::OnEnded(const MinionId& minion_id, const EndedRun& end) {
  TrackedJob* const job = m_state.FindJob(end.task.job);
  TaskProgress* const task = m_state.FindTask(end.task);
  TrackedMinion& minion = *m_state.FindMinion(minion_id);
  if (job == nullptr || task == nullptr) {
    return;
  }
  static constexpr const char* kWords[] = {"done",   "failed", "stopped",
                                           "lapsed", "broken", "alone"};
  LogEvent(LogLevel::kInfo, "runs", "a run has ended")
      .Job(end.task.job)
      .Field("task", TaskNameText(end.task))
      .Field("attempt", end.attempt.value())
      .Field("minion", minion_id.text())
      .Field("how", kWords[static_cast<std::size_t>(end.kind)])
      .Write();
  m_context.metrics.Count(std::string("papayalift_runs_ended_total{how=\"") +
                          kWords[static_cast<std::size_t>(end.kind)] + "\"}");
  job->unsaved_ends.push_back(EndReference{minion_id, minion.life, end.number});
  minion.unsaved_ends.insert(end.number);
  TakeCheckpoint(*job, end.task, end.checkpoint);
  if (end.kind == EndKind::kDone) {
    minion.health.failures_in_a_row = 0;
    TakeDone(*job, end);
  } else {
    if (end.kind == EndKind::kFailed) {
      TakeFailure(*job, minion_id, end);
    }
    if (task->phase == TaskPhase::kPlaced && task->attempt == end.attempt) {
      BackToWaiting(*job, end.task);
    }
  }
  EndIfSettled(*job);
  m_journal->MarkDirty(*job);
  PlanSoon();
}

void LeaderSession::TakeDone(TrackedJob& job, const EndedRun& end) {
  const std::size_t step = static_cast<std::size_t>(end.task.step);
  const auto finish = [this, &end](TaskProgress& task, const TaskName& name) {
    if (task.phase == TaskPhase::kPlaced && task.attempt != end.attempt) {
      if (TrackedRun* const other = m_state.FindRun(name, task.attempt); other != nullptr) {
        m_supervisor->Stop(*other, "an earlier attempt is done");
      }
    }
    task.phase = TaskPhase::kDone;
  };
  if (job.accepted.work.steps[step].kind != StepKind::kGang) {
    finish(*m_state.FindTask(end.task), end.task);
    return;
  }
  // The members of a gang end done together; one such end stands for all.
  std::vector<TaskProgress>& tasks = job.progress.steps[step].tasks;
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    finish(tasks[index],
           TaskName{end.task.job, end.task.occurrence, end.task.step, static_cast<int>(index)});
  }
}

/// A job that has failed on several minions is taken to be at fault itself.
void LeaderSession::BlameMinion(TrackedMinion& minion, const TrackedJob& job) {
  if (job.failed_on.size() > kMinionsBeforeTheJobIsBlamed) {
    return;
  }
  const int doublings = std::min(minion.health.failures_in_a_row++, kMostDoublings);
  minion.health.avoid_until = Now() + kAvoidAfterFailure * (1 << doublings);
}

void LeaderSession::TakeFailure(TrackedJob& job, const MinionId& minion_id, const EndedRun& end) {
  TrackedMinion& minion = *m_state.FindMinion(minion_id);
  job.failed_on.insert(minion_id);
  BlameMinion(minion, job);
  const std::size_t step = static_cast<std::size_t>(end.task.step);
  const bool is_gang = job.accepted.work.steps[step].kind == StepKind::kGang;
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
    StopStep(job, end.task.step, "a member of the gang has failed");
  }
  if (failures >= job.accepted.most_attempts && !HasEnded(job.progress.state) &&
      !job.is_cancelled) {
    EndJob(job, WorkState::kFailed, "a task has failed as often as its queue allows");
    StopJob(job, "the job has failed");
  }
}

void LeaderSession::TakeCheckpoint(TrackedJob& job, const TaskName& task,
                                   const std::string& checkpoint) {
  if (checkpoint.empty()) {
    return;
  }
  const std::size_t step = static_cast<std::size_t>(task.step);
  if (job.accepted.work.steps[step].kind != StepKind::kGang) {
    m_state.FindTask(task)->checkpoint = checkpoint;
    return;
  }
  // One member's checkpoint is good for the gang, and all must start from the same.
  for (TaskProgress& member : job.progress.steps[step].tasks) {
    member.checkpoint = checkpoint;
  }
}

void LeaderSession::BackToWaiting(TrackedJob& job, const TaskName& name) {
  TaskProgress& task = *m_state.FindTask(name);
  task.phase = TaskPhase::kWaiting;
  task.minion = MinionId();
  task.life = MinionLife();
  job.ready_since.resize(job.progress.steps.size());
  job.ready_since[static_cast<std::size_t>(name.step)].reset();
}

void LeaderSession::OnLost(const TrackedRun& run, RunLoss loss, const std::string& reason) {
  LogEvent(LogLevel::kWarning, "runs",
           loss == RunLoss::kNeverStarted ? "a run never started" : "a run is lost")
      .Job(run.task.job)
      .Field("task", TaskNameText(run.task))
      .Field("attempt", run.attempt.value())
      .Field("minion", run.minion.text())
      .Reason(reason)
      .Write();
  TrackedJob* const job = m_state.FindJob(run.task.job);
  TaskProgress* const task = m_state.FindTask(run.task);
  if (job == nullptr || task == nullptr) {
    return;
  }
  if (task->phase == TaskPhase::kPlaced && task->attempt == run.attempt) {
    BackToWaiting(*job, run.task);
    const std::size_t step = static_cast<std::size_t>(run.task.step);
    if (job->accepted.work.steps[step].kind == StepKind::kGang) {
      StopStep(*job, run.task.step, "a member of the gang is missing");
    }
    m_journal->MarkDirty(*job);
  }
  EndIfSettled(*job);
  PlanSoon();
}

void LeaderSession::OnStarted(const TrackedRun& run) {
  TrackedJob* const job = m_state.FindJob(run.task.job);
  if (job != nullptr && !job->has_begun) {
    job->has_begun = true;
    if (job->has_waiting_key) {
      m_journal->MarkDirty(*job);
    }
  }
}

void LeaderSession::OnActive(TrackedRun& run, const ActiveRun& active) {
  TrackedJob* const job = m_state.FindJob(run.task.job);
  const TaskProgress* const task = m_state.FindTask(run.task);
  if (job != nullptr && task != nullptr && task->attempt == run.attempt) {
    TakeCheckpoint(*job, run.task, active.checkpoint);
    StopIfItStandsStill(*job, run);
  }
}

void LeaderSession::StopIfItStandsStill(const TrackedJob& job, TrackedRun& run) {
  const StepSpec& step = job.accepted.work.steps[static_cast<std::size_t>(run.task.step)];
  TrackedMinion& minion = *m_state.FindMinion(run.minion);
  if (const std::optional<double> speed = MeasuredSpeed(run, step, Now())) {
    minion.health.speed += (*speed - minion.health.speed) * kSpeedWeight;
    minion.health.speed_at = Now();
  }
  if (JudgeProgress(run, step, Now()) == ProgressVerdict::kFine || run.stop_wanted ||
      job.is_cancelled) {
    return;
  }
  minion.health.avoid_until = Now() + kAvoidAfterStall;
  m_context.metrics.Count("papayalift_runs_given_up_total");
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
  EndIfSettled(job);
}

void LeaderSession::EndIfSettled(TrackedJob& job) {
  if (HasEnded(job.progress.state)) {
    return;
  }
  if (job.is_cancelled) {
    // Also where all tasks are done by now: the cancellation was stored before that.
    if (!AnyTaskIs(job.progress, TaskPhase::kPlaced)) {
      EndJob(job, WorkState::kCancelled, "cancelled, and nothing runs");
    }
    return;
  }
  const bool is_done =
      std::all_of(job.progress.steps.begin(), job.progress.steps.end(),
                  [](const StepProgress& step) { return AllTasksAre(step, TaskPhase::kDone); });
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
  m_context.metrics.Count("papayalift_jobs_ended_total{state=\"" + WorkStateText(state) + "\"}");
  m_journal->MarkDirty(job);
}

// --- what the journal reports ---

void LeaderSession::OnStored(TrackedJob& job, const ProgressWrite& write) {
  const bool is_too_old = Now() - write.sent_at > kOldestPlacement;
  for (const TaskName& name : write.placements) {
    const TaskProgress& task = *m_state.FindTask(name);
    TrackedRun* const run = m_state.FindRun(name, task.attempt);
    if (run == nullptr || run->state != RunState::kDecided) {
      continue;
    }
    if (run->stop_wanted || is_too_old || job.is_cancelled || HasEnded(job.progress.state)) {
      DropPlacement(job, name);
      m_journal->MarkDirty(job);
      continue;
    }
    m_context.metrics.Observe("papayalift_start_after_known_ms",
                              static_cast<double>((Now() - job.known_since).count()));
    m_supervisor->Start(*run, job.accepted.work.payload, task.checkpoint);
  }
  if (!write.placements.empty()) {
    // The manifest's revision was compared in the write.
    m_context.view.NoteConfirmed(write.sent_at);
  }
  EndIfSettled(job);
  for (const EndReference& end : write.ends) {
    Acknowledge(end);
  }
}

void LeaderSession::OnConflict(TrackedJob& job, const ProgressWrite& write,
                               const std::vector<StoreItem>& items) {
  std::string reason;
  for (const StoreItem& item : items) {
    if (item.key == CancelKey(job.accepted.id) && item.revision.value() != 0) {
      reason = "the job is cancelled";
      job.is_cancelled = true;
    } else if (item.key == m_context.directory.ManifestKey() &&
               item.revision != m_context.view.revision()) {
      reason = "the manifest has changed";
      m_context.view.Adopt(item);
    } else if (const std::optional<ZoneId> zone = m_context.directory.EvacuatedZone(item.key);
               zone.has_value() && item.revision.value() != 0) {
      reason = "a zone is evacuated";
      m_state.evacuated.insert(*zone);
    } else if (item.key.starts_with(m_context.directory.MinionPrefix())) {
      if (item.revision.value() == 0) {
        DropMinion(m_context.directory.MinionOfKey(item.key));
      } else {
        TakeMinion(item);
      }
    }
  }
  LogEvent(LogLevel::kInfo, "leader", "a placement was not stored: what it saw has changed")
      .Job(job.accepted.id)
      .Reason(reason.empty() ? "a minion's registration has changed" : reason)
      .Write();
  for (const TaskName& name : write.placements) {
    DropPlacement(job, name);
  }
  if (job.is_cancelled) {
    if (job.progress.state == WorkState::kDone || job.progress.state == WorkState::kFailed) {
      // The cancellation was stored first, so the job never ended otherwise.
      job.progress.state = WorkState::kRunning;
    }
    Cancel(job);
  }
  PlanSoon();
}

void LeaderSession::DropPlacement(TrackedJob& job, const TaskName& name) {
  TaskProgress& task = *m_state.FindTask(name);
  const TrackedRun* const run = m_state.FindRun(name, task.attempt);
  if (run == nullptr || run->state != RunState::kDecided) {
    return;
  }
  m_state.RemoveRun(MinionId(task.minion), name);
  BackToWaiting(job, name);
}

void LeaderSession::Acknowledge(const EndReference& end) {
  TrackedMinion* const minion = m_state.FindMinion(end.minion);
  if (minion == nullptr || minion->life != end.life) {
    return;
  }
  minion->unsaved_ends.erase(end.number);
  if (minion->unsaved_ends.empty()) {
    m_supervisor->Hold(*minion);
  }
}

// --- planning ---

void LeaderSession::PlanSoon() {
  if (m_plan_is_set || m_is_closed || !m_has_begun) {
    return;
  }
  m_plan_is_set = true;
  // A plan that takes long is made less often, so that the rest of the node keeps up.
  const Milliseconds delay =
      std::clamp(m_plan_took * kPausePerPlanTime, kPlanDelay, kLongestPlanDelay);
  m_context.timers.After(delay, [weak = weak_from_this()] {
    const Self self = weak.lock();
    if (self != nullptr && !self->m_is_closed) {
      self->m_plan_is_set = false;
      self->RunPlan();
    }
  });
}

void LeaderSession::RunPlan() {
  const Milliseconds began_at = Now();
  const PlanSnapshot snapshot =
      MakePlanSnapshot(m_state, *m_context.view.manifest(), m_context.timers.clock());
  if (snapshot.units.empty()) {
    return;
  }
  const Plan plan = PlanStarts(snapshot);
  for (const PlannedStart& start : plan.starts) {
    ApplyStart(start);
  }
  for (const PlannedStop& stop : plan.stops) {
    ApplyStop(stop);
  }
  m_plan_took = Now() - began_at;
  m_context.metrics.Observe("papayalift_plan_ms", static_cast<double>(m_plan_took.count()));
}

void LeaderSession::ApplyStart(const PlannedStart& start) {
  TrackedJob& job = *m_state.FindJob(start.job);
  StepProgress& step = job.progress.steps[static_cast<std::size_t>(start.step)];
  AttemptNumber attempt;
  const bool is_gang =
      job.accepted.work.steps[static_cast<std::size_t>(start.step)].kind == StepKind::kGang;
  if (is_gang) {
    for (const TaskProgress& task : step.tasks) {
      attempt = std::max(attempt, task.attempt);
    }
  }
  for (const PlanTaskPlace& place : start.places) {
    TaskProgress& task = step.tasks[static_cast<std::size_t>(place.index)];
    TrackedMinion& minion = *m_state.FindMinion(place.minion);
    task.phase = TaskPhase::kPlaced;
    task.attempt = is_gang ? attempt.Next() : task.attempt.Next();
    task.minion = place.minion;
    task.life = minion.life;
    TrackedRun run;
    run.task = TaskName{start.job, 0, start.step, place.index};
    run.attempt = task.attempt;
    run.minion = place.minion;
    run.life = minion.life;
    run.needs = job.accepted.work.steps[static_cast<std::size_t>(start.step)].needs;
    run.decided_at = Now();
    m_state.AddRun(minion, std::move(run));
  }
  if (job.progress.state == WorkState::kQueued) {
    job.progress.state = WorkState::kRunning;
  }
  LogEvent(LogLevel::kInfo, "leader", "starting tasks")
      .Job(start.job)
      .Field("step", start.step)
      .Field("tasks", static_cast<std::int64_t>(start.places.size()))
      .Field("attempt",
             step.tasks[static_cast<std::size_t>(start.places.front().index)].attempt.value())
      .Field("first_minion", start.places.front().minion.text())
      .Field("manifest", m_context.view.manifest()->version.value())
      .Field("manifest_age_ms", m_context.view.age().count())
      .Field("known_ms", (Now() - job.known_since).count())
      .Reason(start.reason)
      .Write();
  m_journal->MarkDirty(job);
}

void LeaderSession::ApplyStop(const PlannedStop& stop) {
  for (const PlanTaskPlace& place : stop.places) {
    TrackedJob& job = *m_state.FindJob(stop.job);
    const TaskName name{stop.job, 0, stop.step, place.index};
    const TaskProgress& task = job.progress.steps[static_cast<std::size_t>(stop.step)]
                                   .tasks[static_cast<std::size_t>(place.index)];
    if (TrackedRun* const run = m_state.FindRun(name, task.attempt); run != nullptr) {
      m_supervisor->Stop(*run, "room for guaranteed job " + stop.beneficiary.text());
    }
  }
}

void LeaderSession::Tick() {
  if (m_is_closed) {
    return;
  }
  m_supervisor->ExpireLeases();
  RemoveOld();
  PlanSoon();
  m_context.timers.After(kTickInterval, [weak = weak_from_this()] {
    if (const Self self = weak.lock(); self != nullptr) {
      self->Tick();
    }
  });
}

void LeaderSession::RemoveOld() {
  for (auto entry = m_state.jobs.begin(); entry != m_state.jobs.end();) {
    TrackedJob& job = entry->second;
    const bool is_old =
        job.ended_since.has_value() && Now() - *job.ended_since > m_settings.retention;
    if (is_old && !job.is_dirty && !job.write.has_value() &&
        !AnyTaskIs(job.progress, TaskPhase::kPlaced)) {
      RemoveJob(entry->first, job);
      entry = m_state.jobs.erase(entry);
    } else {
      ++entry;
    }
  }
}

void LeaderSession::RemoveJob(const JobId& id, const TrackedJob& job) {
  Transaction removal;
  removal.Expect(kTermKey, m_state.term.revision)
      .Expect(ProgressKey(id), job.progress_revision)
      .Delete(ProgressKey(id))
      .Delete(AcceptedKey(id))
      .Delete(CancelKey(id));
  m_context.store.Commit(removal, [id](const CommitAnswer& answer) {
    if (answer.result != TransactionResult::kApplied) {
      LogEvent(LogLevel::kWarning, "leader", "an old job is removed by a later leader")
          .Job(id)
          .Reason(answer.error)
          .Write();
    }
  });
}

}  // namespace papayalift
