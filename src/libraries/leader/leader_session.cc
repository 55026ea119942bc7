#include "libraries/leader/leader_session.h"

#include <algorithm>
#include <utility>

#include "libraries/journal/journal_keys.h"
#include "libraries/leader/plan_snapshot_maker.h"
#include "libraries/log/log_event.h"
#include "libraries/planner/plan_starts.h"

namespace papayalift {

namespace {

/// Events that come close together are planned for at once.
constexpr Milliseconds kPlanDelay{3};
constexpr int kPausePerPlanTime = 4;
constexpr Milliseconds kLongestPlanDelay{200};
constexpr Milliseconds kTickInterval{400};

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
      job.accepted.work.steps[static_cast<std::size_t>(start.step)].kind == WorkStepKind::kGang;
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
