#include "libraries/leader/plan_snapshot_builder.h"

#include <algorithm>
#include <map>
#include <utility>

#include "libraries/leader/critical_path.h"
#include "libraries/leader/minion_usability.h"
#include "libraries/leader/run_progress.h"
#include "libraries/leader/step_speed.h"
#include "libraries/leader/task_isolation.h"
#include "libraries/leader/workspace_load.h"
#include "libraries/leader/workspace_usage.h"
#include "libraries/planner/delay_cost.h"
#include "libraries/planner/rack_wait.h"

namespace papayalift {

namespace {

/// Borrowed capacity often becomes free by itself within this time. After it, borrowers are stopped
/// for jobs within their guarantee.
constexpr Milliseconds kBorrowerGracePeriod{1'200};
/// A job that takes this many times its objective is worth nothing to its caller.
constexpr int kLateFactor = 3;
/// Older speed measurements are ignored: a minion that was slow may have recovered.
constexpr Milliseconds kSpeedMaxAge{6'000};

PlanMinion PlanMinionOf(const TrackedMinion& minion, Milliseconds now) {
  PlanMinion planned;
  planned.id = minion.id;
  planned.service = minion.entry->service;
  planned.rack = minion.entry->rack;
  planned.labels = minion.entry->labels;
  planned.capacity = minion.entry->capacity;
  planned.free = minion.entry->capacity - minion.allocated;
  planned.is_idle = minion.runs.empty();
  const bool is_recent = now - minion.health.speed_measured_at < kSpeedMaxAge;
  planned.speed = minion.health.learned_speed.value_or(is_recent ? minion.health.speed : 1);
  planned.is_fast = minion.health.is_fast;
  planned.needs_measurement = minion.health.needs_measurement;
  for (const auto& [task, run] : minion.runs) {
    if (run.stop_wanted) {
      planned.being_freed += run.needs;
    }
  }
  return planned;
}

class PlanSnapshotBuilder {
 public:
  PlanSnapshotBuilder(LeaderState& state, const FleetManifest& manifest,
                      const PlanSettings& settings, const Clock& clock)
      : m_state(state),
        m_manifest(manifest),
        m_usage(state, manifest),
        m_settings(settings),
        m_clock(clock) {}

  PlanContents Build() {
    m_snapshot.policy = PolicyOf(m_manifest);
    for (auto& [id, job] : m_state.jobs) {
      if (!HasEnded(job.progress.state) && !job.is_cancelled && !job.is_record_gone) {
        AddJob(job);
      }
    }
    m_needs_run_ends = std::any_of(m_snapshot.pending_steps.begin(), m_snapshot.pending_steps.end(),
                                   [](const PendingStep& pending) {
                                     return pending.spec.kind == WorkStepKind::kGang ||
                                            HasRackPreference(pending) ||
                                            pending.max_wait_for_ends > Milliseconds(0);
                                   });
    if (!m_snapshot.pending_steps.empty() || !m_contents.waits_for_ends.empty()) {
      AddMinions();
    }
    if (!m_snapshot.pending_steps.empty()) {
      AddVictims();
      m_snapshot.workspaces = MeasureWorkspaceLoads(m_state, m_manifest);
    }
    return std::move(m_contents);
  }

 private:
  void AddMinions() {
    for (const auto& [id, minion] : m_state.minions) {
      AddMinion(minion);
    }
  }

  void AddMinion(const TrackedMinion& minion) {
    const std::optional<UnusableCause> cause =
        FindUnusableCause(m_state, minion, m_settings.max_heartbeat_age, m_clock.Now());
    if (cause.has_value() && minion.entry.has_value()) {
      m_contents.inputs.AddUnusable(minion.entry->service, *cause);
    }
    if (cause.has_value() && *cause != UnusableCause::kAvoided) {
      return;
    }
    PlanMinion& planned = m_snapshot.minions.emplace_back(PlanMinionOf(minion, m_clock.Now()));
    planned.is_avoided = cause.has_value();
    if (m_needs_run_ends) {
      planned.runs = RunsOn(minion);
    }
    if (!planned.is_avoided) {
      m_contents.inputs.AddUsable(planned.service, planned.capacity, planned.free);
    }
  }

  std::vector<PlanRun> RunsOn(const TrackedMinion& minion) const {
    std::vector<PlanRun> runs;
    for (const auto& [task, run] : minion.runs) {
      if (const StepSpec* const step = m_state.FindStep(task); step != nullptr) {
        runs.push_back(PlanRun{run.needs, EstimateRemaining(run, *step, m_clock.Now()),
                               !run.stop_wanted && ShowsRate(run)});
      }
    }
    return runs;
  }

  /// Stops and delays are weighed by their cost where the manifest shares the fleet among
  /// workspaces by quotas or weights; elsewhere priority and slack decide alone.
  static DelayPolicy PolicyOf(const FleetManifest& manifest) {
    const bool has_shares = std::any_of(manifest.workspaces.begin(), manifest.workspaces.end(),
                                        [](const ManifestWorkspace& workspace) {
                                          return workspace.has_quota() || workspace.weight > 0;
                                        });
    return has_shares ? DelayPolicy::kByCost : DelayPolicy::kBySlack;
  }

  /// The typical duration of the queue's tasks, if it replaces their estimates. Only services whose
  /// machines differ much need it, to tell which jobs fast machines can still serve on time.
  std::optional<Milliseconds> LearnedDuration(const AcceptedJob& job) const {
    return m_state.host_speeds.SpreadOf(job.service).is_uneven
               ? m_state.queue_durations.TypicalDuration(job.queue)
               : std::nullopt;
  }

  void AddJob(TrackedJob& job) {
    const std::optional<Milliseconds> typical = LearnedDuration(job.accepted);
    if (typical.has_value()) {
      AddStepsOf(job, WithDurations(job.accepted.work.steps, *typical));
    } else {
      AddStepsOf(job, job.accepted.work.steps);
    }
  }

  /// `steps` are those of the job, with the durations to be expected.
  void AddStepsOf(TrackedJob& job, const std::vector<StepSpec>& steps) {
    job.ready_since.resize(steps.size());
    job.rack_holds.resize(steps.size());
    if (!job.critical_path.has_value()) {
      job.critical_path = TotalCriticalPath(steps);
    }
    std::vector<bool> is_done(steps.size());
    for (std::size_t step = 0; step < steps.size(); ++step) {
      is_done[step] = AllTasksInPhase(job.progress.steps[step], TaskPhase::kDone);
    }
    const std::vector<Milliseconds>& paths =
        m_paths.insert_or_assign(&job, RemainingPaths(steps, is_done)).first->second;
    for (std::size_t step = 0; step < steps.size(); ++step) {
      const bool is_ready = std::all_of(
          steps[step].after.begin(), steps[step].after.end(),
          [&is_done](int earlier) { return is_done[static_cast<std::size_t>(earlier)]; });
      if (!is_done[step] && is_ready) {
        AddPendingStep(job, step, paths[step]);
      }
    }
  }

  void AddPendingStep(TrackedJob& job, std::size_t step, Milliseconds remaining_path) {
    const std::vector<TaskProgress>& tasks = job.progress.steps[step].tasks;
    PendingStep pending;
    pending.job = job.accepted.id;
    pending.step = static_cast<int>(step);
    pending.service = job.accepted.service;
    pending.workspace = job.accepted.workspace;
    pending.spec = job.accepted.work.steps[step];
    for (std::size_t index = 0; index < tasks.size(); ++index) {
      if (tasks[index].phase == TaskPhase::kWaiting) {
        pending.task_indexes.push_back(static_cast<int>(index));
      } else if (pending.spec.max_tasks_per_worker > 0 &&
                 tasks[index].phase == TaskPhase::kPlaced) {
        ++pending.placed_on_minion[tasks[index].minion];
      }
    }
    const bool has_runs = step < job.runs_by_step.size() && job.runs_by_step[step] > 0;
    const bool is_gang = pending.spec.kind == WorkStepKind::kGang;
    if (pending.task_indexes.empty()) {
      return;
    }
    if (is_gang && (has_runs || pending.task_indexes.size() != tasks.size())) {
      m_contents.waits_for_ends.push_back(
          PlannedWait{pending.job, pending.step, pending.service, pending.workspace,
                      static_cast<int>(pending.task_indexes.size()), WaitReason::kFormerRuns});
      return;
    }
    const Milliseconds now = m_clock.Now();
    job.ready_since[step] = job.ready_since[step].value_or(now);
    pending.failed_on = job.failed_on;
    pending.priority = job.accepted.priority;
    pending.is_guaranteed = m_usage.IsGuaranteed(job.accepted);
    pending.waited = now - *job.ready_since[step];
    pending.may_stop_borrowers = pending.is_guaranteed && pending.waited >= kBorrowerGracePeriod;
    pending.remote_penalty = Milliseconds(static_cast<std::int64_t>(
        (m_settings.remote_factor - 1) * static_cast<double>(pending.spec.estimate.count())));
    pending.held_for_rack = job.rack_holds[step].total;
    pending.job_has_runs = job.has_runs();
    const Milliseconds time_left = DueAt(job) - now;
    pending.slack = time_left - remaining_path;
    pending.min_speed =
        MinSpeedFor(remaining_path, time_left, m_state.host_speeds.SpreadOf(pending.service));
    pending.worthless_slack = pending.slack + ObjectiveOf(job) * (kLateFactor - 1);
    LimitStops(job, pending);
    IsolateSuspects(m_state, job, step, pending);
    if (!pending.task_indexes.empty()) {
      m_snapshot.pending_steps.push_back(std::move(pending));
    }
  }

  /// The latest end with which the job is on time.
  static Milliseconds DueAt(const TrackedJob& job) { return job.known_since + ObjectiveOf(job); }

  /// The longest stay with which the job is on time.
  static Milliseconds ObjectiveOf(const TrackedJob& job) {
    const double critical_path = static_cast<double>(job.critical_path->count());
    return Milliseconds(static_cast<std::int64_t>(job.accepted.slack_factor * critical_path)) +
           job.accepted.latency_target;
  }

  /// Weighted core-seconds of one task of the step.
  static double WorkOfTask(const StepSpec& step) {
    constexpr double kMillisecondsPerSecond = 1'000;
    return static_cast<double>(step.estimate.count()) / kMillisecondsPerSecond *
           WeightedCores(step.needs);
  }

  void LimitStops(const TrackedJob& job, PendingStep& pending) const {
    const double work = WorkOfTask(pending.spec) * static_cast<double>(pending.task_indexes.size());
    const ReclaimLimits limits = LimitReclaim(
        ReclaimFacts{pending.is_guaranteed, pending.priority, m_clock.Now() - job.known_since,
                     job.known_since >= m_state.elected_at, pending.slack, work},
        m_snapshot.policy);
    pending.max_lost_work = limits.max_lost_work;
    pending.max_wait_for_ends = limits.max_wait_for_ends;
    pending.may_only_await_stops = limits.may_only_await_stops;
  }

  /// Adds all runs that may be stopped: the members of a gang as one victim, others singly.
  void AddVictims() {
    std::map<std::pair<const TrackedJob*, int>, std::size_t> gangs;
    for (const auto& [id, minion] : m_state.minions) {
      for (const auto& [name, run] : minion.runs) {
        const TrackedJob* const job = run.stop_wanted ? nullptr : m_state.FindJob(name.job);
        if (job == nullptr || !IsVictim(*job, run)) {
          continue;
        }
        const std::size_t step = static_cast<std::size_t>(name.step);
        std::size_t index = m_snapshot.victims.size();
        if (job->accepted.work.steps[step].kind == WorkStepKind::kGang) {
          index = gangs.try_emplace({job, name.step}, index).first->second;
        }
        if (index == m_snapshot.victims.size()) {
          m_snapshot.victims.push_back(VictimOf(*job, step));
        }
        PlanVictim& victim = m_snapshot.victims[index];
        victim.placements.push_back(PlannedPlacement{name.index, id});
        victim.unsaved_work += UnsavedWork(*job, step, run);
        AddRunTo(victim, *job, step, run);
      }
    }
  }

  bool IsVictim(const TrackedJob& job, const TrackedRun& run) const {
    if (HasEnded(job.progress.state) || job.is_cancelled || m_usage.IsGuaranteed(job.accepted)) {
      return false;
    }
    const TaskProgress& task = job.progress.steps[static_cast<std::size_t>(run.task.step)]
                                   .tasks[static_cast<std::size_t>(run.task.index)];
    return task.phase == TaskPhase::kPlaced && task.attempt == run.attempt;
  }

  static PlanVictim VictimOf(const TrackedJob& job, std::size_t step) {
    PlanVictim victim;
    victim.job = job.accepted.id;
    victim.step = static_cast<int>(step);
    victim.workspace = job.accepted.workspace;
    victim.priority = job.accepted.priority;
    victim.is_borrower = job.accepted.priority == kGuaranteedPriority;
    victim.needs_per_task = job.accepted.work.steps[step].needs;
    return victim;
  }

  /// Adds what the cost of stopping the run depends on.
  void AddRunTo(PlanVictim& victim, const TrackedJob& job, std::size_t step,
                const TrackedRun& run) const {
    StepSpec spec = job.accepted.work.steps[step];
    // m_paths has learned durations in place of estimates.
    spec.estimate = LearnedDuration(job.accepted).value_or(spec.estimate);
    victim.work += WorkOfTask(spec);
    const auto reclaims = job.reclaims.find(run.task);
    if (reclaims != job.reclaims.end()) {
      victim.times_stopped = std::max(victim.times_stopped, reclaims->second);
    }
    const Milliseconds remaining = EstimateRemaining(run, spec, m_clock.Now());
    AddEnd(victim, run, remaining);
    AddSlack(victim, job, step, spec, remaining);
  }

  static void AddEnd(PlanVictim& victim, const TrackedRun& run, Milliseconds remaining) {
    const bool shows_end = ShowsRate(run);
    if (shows_end) {
      victim.first_end = std::min(victim.first_end.value_or(remaining), remaining);
    }
    if (victim.placements.size() == 1) {
      victim.last_end = Milliseconds(0);
    }
    victim.last_end = shows_end && victim.last_end.has_value()
                          ? std::optional(std::max(*victim.last_end, remaining))
                          : std::nullopt;
  }

  void AddSlack(PlanVictim& victim, const TrackedJob& job, std::size_t step, const StepSpec& spec,
                Milliseconds remaining) const {
    const auto paths = m_paths.find(&job);
    if (paths == m_paths.end()) {
      return;
    }
    const bool is_first = victim.placements.size() == 1;
    const Milliseconds after_step = paths->second[step] - spec.estimate;
    const Milliseconds slack = DueAt(job) - m_clock.Now() - after_step - remaining;
    const Milliseconds done = std::max(Milliseconds(0), spec.estimate - remaining);
    const Milliseconds lost = spec.saves_checkpoints ? Milliseconds(0) : done;
    const Milliseconds if_stopped = slack - lost - kStopTime - kStartTime;
    victim.slack = is_first ? slack : std::min(victim.slack, slack);
    victim.slack_if_stopped = is_first ? if_stopped : std::min(victim.slack_if_stopped, if_stopped);
  }

  /// Weighted core-seconds that stopping the run would lose.
  double UnsavedWork(const TrackedJob& job, std::size_t step, const TrackedRun& run) const {
    constexpr double kMillisecondsPerSecond = 1'000;
    /// Cost of restarting a run. A run with checkpoints loses no more than this besides, since a
    /// stop saves a checkpoint.
    constexpr double kRestartCostSeconds = 0.3;
    const StepSpec& spec = job.accepted.work.steps[step];
    const double run_seconds =
        run.running_since.has_value()
            ? static_cast<double>((m_clock.Now() - *run.running_since).count()) /
                  kMillisecondsPerSecond
            : 0;
    const double lost_seconds =
        spec.saves_checkpoints ? std::min(run_seconds, kRestartCostSeconds) : run_seconds;
    return WeightedCores(spec.needs) * (lost_seconds + kRestartCostSeconds);
  }

  LeaderState& m_state;
  const FleetManifest& m_manifest;
  const WorkspaceUsage m_usage;
  const PlanSettings m_settings;
  const Clock& m_clock;
  /// The expected ends of runs are only filled if a step may wait for them.
  bool m_needs_run_ends = false;
  /// RemainingPaths() of the jobs that have not ended.
  std::map<const TrackedJob*, std::vector<Milliseconds>> m_paths;
  PlanContents m_contents;
  PlanSnapshot& m_snapshot = m_contents.snapshot;
};

}  // namespace

PlanContents BuildPlanSnapshot(LeaderState& state, const FleetManifest& manifest,
                               const PlanSettings& settings, const Clock& clock) {
  return PlanSnapshotBuilder(state, manifest, settings, clock).Build();
}

}  // namespace papayalift
