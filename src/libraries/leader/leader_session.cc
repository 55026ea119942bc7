#include "libraries/leader/leader_session.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libraries/journal/journal_keys.h"
#include "libraries/leader/host_speed_recorder.h"
#include "libraries/leader/lease_time.h"
#include "libraries/leader/plan_snapshot_builder.h"
#include "libraries/leader/task_isolation.h"
#include "libraries/leader/workspace_load.h"
#include "libraries/log/log_event.h"
#include "libraries/planner/task_planner.h"

namespace papayalift {

namespace {

/// Events within this time are handled by one planning pass.
constexpr Milliseconds kMinPlanDelay{3};
constexpr int kPlanDelayPerPlanDuration = 4;
constexpr Milliseconds kMaxPlanDelay{200};
constexpr Milliseconds kTickInterval{400};
/// A task that is to be judged stays placed on a minion without runs for less than this time.
constexpr Milliseconds kMinSilenceWithoutRuns{30'000};
/// Hundreds of minions write their heartbeats each second.
constexpr Milliseconds kMinionWatchPause{40};

}  // namespace

std::shared_ptr<LeaderSession> LeaderSession::Create(const LeaderContext& context,
                                                     const LeaderSettings& settings, Term term) {
  return std::shared_ptr<LeaderSession>(new LeaderSession(context, settings, term));
}

LeaderSession::LeaderSession(const LeaderContext& context, const LeaderSettings& settings,
                             Term term)
    : m_context(context), m_settings(settings), m_wait_monitor(context.metrics) {
  m_state.term = term;
  m_state.elected_at = Now();
  m_watched_prefixes = {
      WatchedPrefix{kAcceptedPrefix, &LeaderSession::ApplyAcceptedItems,
                    &LeaderSession::ApplyAcceptedChange},
      WatchedPrefix{context.schema.MinionPrefix(), &LeaderSession::ApplyMinionItems,
                    &LeaderSession::ApplyMinionChange, kMinionWatchPause},
      WatchedPrefix{context.schema.OperatorPrefix(), &LeaderSession::ApplyOperatorItems,
                    &LeaderSession::ApplyOperatorChange}};
}

void LeaderSession::Start() {
  CreateJournal();
  CreateLeaseRecorder();
  CreateSupervisor();
  m_speed_recorder =
      std::make_shared<HostSpeedRecorder>(m_context.timers, m_context.store, m_state);
  m_lease_recorder->Load();
  m_speed_recorder->Load();
  LoadProgress();
  for (std::size_t index = 0; index < m_watched_prefixes.size(); ++index) {
    LoadPrefix(index);
  }
}

void LeaderSession::CreateJournal() {
  m_journal = std::make_shared<JobJournal>(
      m_context.timers, m_context.store, m_context.schema, m_context.view, m_state,
      m_settings.registration_freshness,
      JournalCallbacks{
          [this](TrackedJob& job, const ProgressWrite& write) { OnStored(job, write); },
          [this](TrackedJob& job, const ProgressWrite& write, const std::vector<StoreItem>& items) {
            OnConflict(job, write, items);
          },
          [this](const std::string& reason) { m_context.election.StepDown(reason); },
          [this](Milliseconds sent_at) { m_context.election.RecordConfirmation(sent_at); }});
}

void LeaderSession::CreateLeaseRecorder() {
  m_lease_recorder = std::make_shared<LeaseRecorder>(
      m_context.timers, m_context.store, m_state, m_context.election.history(),
      LongestRealTime(m_settings.supervisor.longest_lease),
      LeaseRecorderCallbacks{
          [this] { OnLeasesOpened(); }, [this] { StartIfLoaded(); },
          [this](const MinionId& id) {
            if (TrackedMinion* const minion = m_state.FindMinion(id); minion != nullptr) {
              m_supervisor->RequestHold(*minion);
              SchedulePlan();
            }
          },
          [this](const MinionId& id) { return m_supervisor->LeasesLeft(id); },
          [this](const std::string& reason) { m_context.election.StepDown(reason); },
          [this](Milliseconds sent_at) { m_context.election.RecordConfirmation(sent_at); },
          [this] { return m_context.election.confirmed_at(); }});
}

void LeaderSession::CreateSupervisor() {
  m_supervisor = std::make_shared<RunSupervisor>(
      m_context.timers, m_context.minions, m_state, m_settings.supervisor,
      [this] { return m_context.election.confirmed_at(); },
      SupervisorCallbacks{
          [this](const TrackedRun& run) { return ObstacleToStart(run); },
          [this](const MinionId& minion, const EndedRun& end) { OnEnded(minion, end); },
          [this](const TrackedRun& run, RunLoss loss, const std::string& reason) {
            OnLost(run, loss, reason);
          },
          [this](const TrackedRun& run) { OnStarted(run); },
          [this](TrackedRun& run, const ActiveRun& active) { OnActive(run, active); },
          [this] { m_context.election.StepDown("a minion has seen a higher token"); },
          [this](const MinionId& id) { return m_lease_recorder->FormerLeasesEnd(id); },
          [this] { OpenLeases(); }, [this](const MinionId& id) { m_lease_recorder->AddSilent(id); },
          [this](const MinionId& id) { m_lease_recorder->RemoveHeard(id); },
          [this] { SchedulePlan(); }});
}

void LeaderSession::OpenLeases() {
  if (!m_is_opening_leases) {
    m_is_opening_leases = true;
    m_lease_recorder->Open(m_supervisor->awaited_reports());
  }
}

void LeaderSession::OnLeasesOpened() {
  for (auto& [id, minion] : m_state.minions) {
    if (minion.has_reported && !minion.runs.empty()) {
      m_supervisor->RequestHold(minion);
    }
  }
  SchedulePlan();
}

void LeaderSession::Close() {
  m_is_closed = true;
  m_journal->Close();
  m_lease_recorder->Close();
  m_speed_recorder->Close();
  m_supervisor->Close();
}

// --- planning ---

void LeaderSession::SchedulePlan() {
  if (m_is_plan_scheduled || m_is_closed || !m_state.may_grant_leases) {
    return;
  }
  m_is_plan_scheduled = true;
  // Planning runs less often the longer it takes, so that the rest of the node keeps up. It never
  // takes more than half of the time.
  const Milliseconds delay =
      std::clamp(m_last_plan_duration * kPlanDelayPerPlanDuration, kMinPlanDelay,
                 std::max(kMaxPlanDelay, m_last_plan_duration));
  m_context.timers.After(delay, [weak = weak_from_this()] {
    const Self self = weak.lock();
    if (self != nullptr && !self->m_is_closed) {
      self->m_is_plan_scheduled = false;
      self->RunPlan();
    }
  });
}

void LeaderSession::RunPlan() {
  const Milliseconds began_at = Now();
  PlanContents contents =
      BuildPlanSnapshot(m_state, *m_context.view.manifest(),
                        PlanSettings{m_settings.max_heartbeat_age, m_settings.remote_factor},
                        m_context.timers.clock());
  if (contents.snapshot.pending_steps.empty()) {
    m_wait_monitor.Record(contents.waits_for_ends, contents.inputs, contents.snapshot.workspaces,
                          Now());
    m_start_window.RecordHeldBack(0);
    m_last_pass_at = began_at;
    return;
  }
  contents.snapshot.starts = UpdateStartWindow();
  Plan plan = PlanTasks(contents.snapshot);
  RecordHeldBackStarts(plan.waits);
  RecordRackHolds(plan.waits, began_at);
  for (const PlannedStart& start : plan.starts) {
    ApplyStart(start);
  }
  for (const PlannedStop& stop : plan.stops) {
    ApplyStop(stop);
  }
  plan.waits.insert(plan.waits.end(), contents.waits_for_ends.begin(),
                    contents.waits_for_ends.end());
  m_wait_monitor.Record(plan.waits, contents.inputs, contents.snapshot.workspaces, Now());
  m_last_plan_duration = Now() - began_at;
  m_context.metrics.Observe("papayalift_plan_ms",
                            static_cast<double>(m_last_plan_duration.count()));
}

StartAllowance LeaderSession::UpdateStartWindow() {
  const std::int64_t out = m_state.CountStartsOut();
  m_start_window.Update(out, m_context.timers.Lateness(), Now());
  m_context.metrics.SetGauge("papayalift_starts_out", static_cast<double>(out));
  m_context.metrics.SetGauge("papayalift_start_window", static_cast<double>(m_start_window.size()));
  return m_start_window.AllowanceFor(out);
}

void LeaderSession::RecordHeldBackStarts(const std::vector<PlannedWait>& waits) {
  std::int64_t held_back = 0;
  for (const PlannedWait& wait : waits) {
    held_back += wait.reason == WaitReason::kLeaderBehind ? wait.tasks : 0;
  }
  m_start_window.RecordHeldBack(held_back);
}

void LeaderSession::RecordRackHolds(const std::vector<PlannedWait>& waits, Milliseconds now) {
  for (const PlannedWait& wait : waits) {
    if (wait.reason != WaitReason::kRack) {
      continue;
    }
    RackHold& hold = m_state.FindJob(wait.job)->rack_holds[static_cast<std::size_t>(wait.step)];
    if (hold.last_held_at == m_last_pass_at) {
      hold.total += now - m_last_pass_at;
    }
    hold.last_held_at = now;
  }
  m_last_pass_at = now;
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
  for (const PlannedPlacement& placement : start.placements) {
    TaskProgress& task = step.tasks[static_cast<std::size_t>(placement.index)];
    TrackedMinion& minion = *m_state.FindMinion(placement.minion);
    task.phase = TaskPhase::kPlaced;
    task.attempt = is_gang ? attempt.Next() : task.attempt.Next();
    task.minion = placement.minion;
    task.incarnation = minion.incarnation;
    task.address = minion.address;
    task.announced_end = m_state.planned_ends.AnnouncementOf(minion.id, minion.incarnation);
    if (task.late_crashes > 0) {
      task.placed_at = m_context.timers.clock().WallNow();
    }
    TrackedRun run;
    run.task = TaskName{start.job, 0, start.step, placement.index};
    run.attempt = task.attempt;
    run.minion = placement.minion;
    run.incarnation = minion.incarnation;
    run.needs = job.accepted.work.steps[static_cast<std::size_t>(start.step)].needs;
    run.decided_at = Now();
    run.is_isolated = IsSuspect(task);
    m_state.AddRun(minion, std::move(run));
  }
  if (job.progress.state == WorkState::kQueued) {
    job.progress.state = WorkState::kRunning;
  }
  const StepWait* const wait = m_wait_monitor.Find(start.job, start.step);
  LogEvent(LogLevel::kInfo, "leader", "starting tasks")
      .Job(start.job)
      .Field("step", start.step)
      .Field("tasks", static_cast<std::int64_t>(start.placements.size()))
      .Field("attempt",
             step.tasks[static_cast<std::size_t>(start.placements.front().index)].attempt.value())
      .Field("first_minion", start.placements.front().minion.text())
      .Field("manifest", m_context.view.manifest()->version.value())
      .Field("manifest_age_ms", m_context.view.age().count())
      .Field("known_ms", (Now() - job.known_since).count())
      .Field("waited_ms", wait == nullptr ? 0 : (Now() - wait->ready_since).count())
      .Field("waited_for", wait == nullptr ? "" : WaitReasonText(wait->reason))
      .Reason(start.reason)
      .Write();
  m_journal->MarkDirty(job);
}

void LeaderSession::ApplyStop(const PlannedStop& stop) {
  TrackedJob& job = *m_state.FindJob(stop.job);
  int stopped = 0;
  for (const PlannedPlacement& placement : stop.placements) {
    const TaskName name{stop.job, 0, stop.step, placement.index};
    const TaskProgress& task = job.progress.steps[static_cast<std::size_t>(stop.step)]
                                   .tasks[static_cast<std::size_t>(placement.index)];
    if (TrackedRun* const run = m_state.FindRun(name, task.attempt); run != nullptr) {
      m_supervisor->Stop(*run, "its capacity is reclaimed for job " + stop.beneficiary.text());
      ++job.reclaims[name];
      ++stopped;
    }
  }
  m_context.metrics.Increment("papayalift_runs_reclaimed_total", stopped);
  m_context.metrics.Increment("papayalift_reclaimed_core_seconds_total",
                              std::llround(stop.lost_work));
  LogEvent(LogLevel::kInfo, "leader", "stopping tasks for another job")
      .Job(stop.job)
      .Field("step", stop.step)
      .Field("tasks", stopped)
      .Field("beneficiary", stop.beneficiary.text())
      .Field("lost_core_seconds", std::llround(stop.lost_work))
      .Field("cost_core_seconds", std::llround(stop.cost))
      .Write();
}

void LeaderSession::ExportSilentRuns() {
  const SilentRuns silent = m_state.CountSilentRuns(Now());
  m_context.metrics.SetGauge("papayalift_silent_minions_with_runs", silent.minions);
  m_context.metrics.SetGauge("papayalift_runs_on_silent_minions{listed=\"1\"}",
                             silent.runs_on_listed_minions);
  m_context.metrics.SetGauge("papayalift_runs_on_silent_minions{listed=\"0\"}",
                             silent.runs_on_unlisted_minions);
  m_context.metrics.SetGauge("papayalift_longest_minion_silence_ms",
                             static_cast<double>(silent.longest_silence.count()));
}

void LeaderSession::Tick() {
  if (m_is_closed) {
    return;
  }
  m_supervisor->GiveUpLostRuns();
  ExportSilentRuns();
  LearnSpeeds();
  m_speed_recorder->WriteIfDue();
  ExportWorkspaceLoads(MeasureWorkspaceLoads(m_state, *m_context.view.manifest()),
                       m_context.metrics);
  m_lease_recorder->RemoveNeedless(kMinSilenceWithoutRuns);
  JudgeSuspects(m_recall_until.has_value() ? JudgementScope::kNoAccusations : JudgementScope::kAll);
  ResolveOpenLosses();
  RereadIfWatchesAreSilent();
  RemoveExpiredJobs();
  m_state.DropOldAnnouncements(Now());
  SchedulePlan();
  m_context.timers.After(kTickInterval, [weak = weak_from_this()] {
    if (const Self self = weak.lock(); self != nullptr) {
      self->Tick();
    }
  });
}

}  // namespace papayalift
