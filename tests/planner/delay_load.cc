#include "planner/delay_load.h"

#include <algorithm>
#include <cmath>

namespace papayalift {

namespace {

constexpr Milliseconds kInterval{100};
constexpr std::int64_t kMinionAccelerators = 8;
constexpr Resources kMinionCapacity{128'000, 512'000, kMinionAccelerators};
/// After this share of its length a run shows when it will end.
constexpr int kShareThatShowsRate = 10;
constexpr int kLateFactor = 3;
constexpr double kMillisecondsPerSecond = 1'000;

/// What jobs of a class look like and what their callers expect.
struct ClassTraits {
  WorkStepKind kind;
  int width;
  std::int64_t shortest;
  std::int64_t longest;
  double slack_factor;
  Milliseconds latency_target;
  std::int64_t cores;
  std::vector<std::int64_t> accelerators;
};

const ClassTraits& TraitsOf(JobClass job_class) {
  static const std::array<ClassTraits, kJobClasses> kTraits{
      ClassTraits{WorkStepKind::kGang, 5, 2'000, 2'500, 1.5, Milliseconds(300), 15, {1, 2, 4, 8}},
      ClassTraits{WorkStepKind::kGang, 13, 6'000, 8'500, 3, Milliseconds(1'000), 52, {1, 2, 4}},
      ClassTraits{
          WorkStepKind::kIndependentTasks, 39, 5'000, 8'000, 3, Milliseconds(3'000), 11, {1}}};
  return kTraits[static_cast<std::size_t>(job_class)];
}

MinionId MinionName(std::size_t number) { return MinionId("m" + std::to_string(1'000 + number)); }
JobId JobName(std::size_t number) { return JobId("j" + std::to_string(1'000'000 + number)); }
std::size_t NumberOf(const JobId& id) { return std::stoul(id.text().substr(1)) - 1'000'000; }

Resources NeedsOf(const LoadJob& job) {
  return Resources{TraitsOf(job.job_class).cores * 1'000, 500, job.accelerators};
}

bool IsGang(const LoadJob& job) { return TraitsOf(job.job_class).kind == WorkStepKind::kGang; }

double WorkOf(const LoadJob& job, Milliseconds time) {
  return WeightedCores(NeedsOf(job)) * static_cast<double>(time.count()) / kMillisecondsPerSecond;
}

}  // namespace

void DelayLoad::SubmitUsual(JobClass job_class) {
  const ClassTraits& traits = TraitsOf(job_class);
  LoadJob job;
  job.job_class = job_class;
  job.width = traits.width;
  job.accelerators = traits.accelerators[m_random() % traits.accelerators.size()];
  std::uniform_int_distribution<std::int64_t> length(traits.shortest, traits.longest);
  std::uniform_real_distribution<double> difference(0.85, 1);
  const double longest = static_cast<double>(length(m_random));
  for (int index = 0; index < job.width; ++index) {
    job.durations.emplace_back(static_cast<std::int64_t>(longest * difference(m_random)));
  }
  Submit(job);
}

void DelayLoad::Submit(const LoadJob& job) {
  Job& added = m_jobs.emplace_back();
  added.job = job;
  added.submitted_at = m_now;
  added.tasks.resize(job.durations.size());
  std::uniform_real_distribution<double> error(-std::log(m_settings.estimate_error),
                                               std::log(m_settings.estimate_error));
  added.estimate = Milliseconds(static_cast<std::int64_t>(
      static_cast<double>(LengthOf(added).count()) * std::exp(error(m_random))));
}

Milliseconds DelayLoad::LengthOf(const Job& job) const {
  return *std::max_element(job.job.durations.begin(), job.job.durations.end());
}

Milliseconds DelayLoad::DueAt(const Job& job, Milliseconds length) const {
  const ClassTraits& traits = TraitsOf(job.job.job_class);
  return job.submitted_at + traits.latency_target +
         Milliseconds(
             static_cast<std::int64_t>(traits.slack_factor * static_cast<double>(length.count())));
}

void DelayLoad::RemoveMinions(int count) {
  m_removed = count;
  const std::size_t left = static_cast<std::size_t>(m_settings.minions - count);
  for (Job& job : m_jobs) {
    const bool loses = std::any_of(job.tasks.begin(), job.tasks.end(), [left](const Task& task) {
      return task.state == TaskState::kRunning && task.minion >= left;
    });
    for (Task& task : job.tasks) {
      const bool is_active =
          task.state == TaskState::kRunning || task.state == TaskState::kStopping;
      if (is_active && task.minion >= left) {
        m_losses[static_cast<std::size_t>(job.job.job_class)].thrown_away +=
            static_cast<double>(job.job.accelerators) *
            static_cast<double>((m_now - task.began_at).count()) / kMillisecondsPerSecond;
        task.state = TaskState::kWaiting;
      } else if (loses && IsGang(job.job) && task.state == TaskState::kRunning) {
        StopTask(job, task);
      }
    }
  }
}

void DelayLoad::StopTask(Job& job, Task& task) {
  ClassFigures& losses = m_losses[static_cast<std::size_t>(job.job.job_class)];
  losses.thrown_away += static_cast<double>(job.job.accelerators) *
                        static_cast<double>((m_now - task.began_at).count()) /
                        kMillisecondsPerSecond;
  task.state = TaskState::kStopping;
  task.freed_at = m_now + kStopTime;
}

void DelayLoad::EndTasks() {
  for (Job& job : m_jobs) {
    if (job.ended_at.has_value()) {
      continue;
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
      Task& task = job.tasks[index];
      const Milliseconds length = IsGang(job.job) ? LengthOf(job) : job.job.durations[index];
      if (task.state == TaskState::kRunning && m_now >= task.began_at + kStartTime + length) {
        task.state = TaskState::kDone;
      } else if (task.state == TaskState::kStopping && m_now >= task.freed_at) {
        task.state = TaskState::kWaiting;
      }
    }
    const bool is_done = std::all_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) {
      return task.state == TaskState::kDone;
    });
    if (is_done) {
      job.ended_at = m_now;
    }
  }
}

void DelayLoad::MarkGuaranteed() {
  std::int64_t used = 0;
  for (Job& job : m_jobs) {
    if (job.ended_at.has_value() || job.job.job_class != JobClass::kUrgent) {
      continue;
    }
    const std::int64_t needed = job.job.accelerators * job.job.width;
    const bool was_guaranteed = job.is_guaranteed;
    job.is_guaranteed = used + needed <= m_settings.guaranteed;
    job.guaranteed_since = was_guaranteed ? job.guaranteed_since : m_now;
    used += job.is_guaranteed ? needed : 0;
  }
}

bool DelayLoad::ShowsEnd(const Job& job, int index) const {
  const Milliseconds elapsed = m_now - job.tasks[static_cast<std::size_t>(index)].began_at;
  return (elapsed - kStartTime) * kShareThatShowsRate >= LengthOf(job);
}

Milliseconds DelayLoad::RemainingOf(const Job& job, int index) const {
  const std::size_t position = static_cast<std::size_t>(index);
  const Task& task = job.tasks[position];
  if (task.state == TaskState::kStopping) {
    return Milliseconds(0);
  }
  const Milliseconds length = IsGang(job.job) ? LengthOf(job) : job.job.durations[position];
  const Milliseconds ends_in =
      task.began_at + kStartTime + (ShowsEnd(job, index) ? length : job.estimate) - m_now;
  return Milliseconds(std::abs(ends_in.count()));
}

PlanRun DelayLoad::RunOf(const Job& job, int index) const {
  const bool runs = job.tasks[static_cast<std::size_t>(index)].state == TaskState::kRunning;
  return PlanRun{NeedsOf(job.job), RemainingOf(job, index), runs && ShowsEnd(job, index)};
}

PlanSnapshot DelayLoad::Snapshot() const {
  PlanSnapshot snapshot;
  snapshot.policy = m_settings.policy;
  for (int number = 0; number < m_settings.minions - m_removed; ++number) {
    PlanMinion& minion = snapshot.minions.emplace_back();
    minion.id = MinionName(static_cast<std::size_t>(number));
    minion.service = ServiceId("pool");
    minion.capacity = kMinionCapacity;
    minion.free = kMinionCapacity;
    minion.is_idle = true;
  }
  for (std::size_t number = 0; number < m_jobs.size(); ++number) {
    if (m_jobs[number].ended_at.has_value()) {
      continue;
    }
    AddRuns(number, snapshot);
    PendingStep pending = PendingOf(number);
    const bool is_whole = pending.task_indexes.size() == m_jobs[number].tasks.size();
    if (!pending.task_indexes.empty() && (is_whole || !IsGang(m_jobs[number].job))) {
      snapshot.pending_steps.push_back(std::move(pending));
    }
  }
  return snapshot;
}

void DelayLoad::AddRuns(std::size_t number, PlanSnapshot& snapshot) const {
  const Job& job = m_jobs[number];
  const std::size_t victims = snapshot.victims.size();
  for (int index = 0; index < job.job.width; ++index) {
    const Task& task = job.tasks[static_cast<std::size_t>(index)];
    if (task.state != TaskState::kRunning && task.state != TaskState::kStopping) {
      continue;
    }
    PlanMinion& minion = snapshot.minions[task.minion];
    minion.free -= NeedsOf(job.job);
    minion.is_idle = false;
    minion.runs.push_back(RunOf(job, index));
    if (task.state == TaskState::kStopping) {
      minion.being_freed += NeedsOf(job.job);
    } else if (!job.is_guaranteed) {
      if (!IsGang(job.job) || snapshot.victims.size() == victims) {
        snapshot.victims.emplace_back();
      }
      AddVictim(number, index, snapshot);
    }
  }
}

void DelayLoad::AddVictim(std::size_t number, int index, PlanSnapshot& snapshot) const {
  const Job& job = m_jobs[number];
  const Task& task = job.tasks[static_cast<std::size_t>(index)];
  PlanVictim& victim = snapshot.victims.back();
  victim.job = JobName(number);
  victim.priority = Priority(static_cast<int>(job.job.job_class));
  victim.is_borrower = job.job.job_class == JobClass::kUrgent;
  victim.needs_per_task = NeedsOf(job.job);
  victim.placements.push_back(PlannedPlacement{index, MinionName(task.minion)});
  victim.unsaved_work += WorkOf(job.job, m_now - task.began_at + kStartTime);
  victim.work += WorkOf(job.job, job.estimate);
  victim.times_stopped = std::max(victim.times_stopped, task.stops);
  const Milliseconds remaining = RemainingOf(job, index);
  if (ShowsEnd(job, index)) {
    victim.first_end = std::min(victim.first_end.value_or(remaining), remaining);
    victim.last_end = std::max(victim.last_end.value_or(remaining), remaining);
  }
  victim.slack = DueAt(job, job.estimate) - m_now - remaining;
  victim.slack_if_stopped =
      DueAt(job, job.estimate) - m_now - kStopTime - kStartTime - job.estimate;
}

PendingStep DelayLoad::PendingOf(std::size_t number) const {
  const Job& job = m_jobs[number];
  PendingStep pending;
  pending.job = JobName(number);
  pending.service = ServiceId("pool");
  pending.spec.kind = TraitsOf(job.job.job_class).kind;
  pending.spec.count = job.job.width;
  pending.spec.needs = NeedsOf(job.job);
  pending.spec.estimate = job.estimate;
  for (int index = 0; index < job.job.width; ++index) {
    const TaskState state = job.tasks[static_cast<std::size_t>(index)].state;
    if (state == TaskState::kWaiting) {
      pending.task_indexes.push_back(index);
    }
    pending.job_has_runs = pending.job_has_runs || state == TaskState::kRunning;
  }
  pending.priority = Priority(static_cast<int>(job.job.job_class));
  pending.is_guaranteed = job.is_guaranteed;
  pending.waited = m_now - job.submitted_at;
  pending.may_stop_borrowers = pending.is_guaranteed && pending.waited >= kLastReclaimDecision;
  pending.slack = DueAt(job, job.estimate) - m_now - job.estimate;
  pending.worthless_slack =
      pending.slack + (DueAt(job, job.estimate) - job.submitted_at) * (kLateFactor - 1);
  const double work =
      WorkOf(job.job, job.estimate) * static_cast<double>(pending.task_indexes.size());
  const ReclaimLimits limits = LimitReclaim(ReclaimFacts{pending.is_guaranteed, pending.priority,
                                                         pending.waited, true, pending.slack, work},
                                            m_settings.policy);
  pending.max_lost_work = limits.max_lost_work;
  pending.max_wait_for_ends = limits.max_wait_for_ends;
  pending.may_only_await_stops = limits.may_only_await_stops;
  return pending;
}

void DelayLoad::NoteBegin(Job& job) {
  const bool has_begun = std::none_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) {
    return task.state == TaskState::kWaiting;
  });
  if (has_begun && !job.has_begun && job.is_guaranteed) {
    m_longest_guaranteed_start =
        std::max(m_longest_guaranteed_start, m_now + kStartTime - job.guaranteed_since);
  }
  job.has_begun = job.has_begun || has_begun;
}

void DelayLoad::Advance() {
  EndTasks();
  MarkGuaranteed();
  const Plan plan = PlanTasks(Snapshot());
  for (const PlannedStart& start : plan.starts) {
    Job& job = m_jobs[NumberOf(start.job)];
    for (const PlannedPlacement& placement : start.placements) {
      Task& task = job.tasks[static_cast<std::size_t>(placement.index)];
      task.state = TaskState::kRunning;
      task.minion = std::stoul(placement.minion.text().substr(1)) - 1'000;
      task.began_at = m_now;
    }
    NoteBegin(job);
  }
  for (const PlannedStop& stop : plan.stops) {
    Job& job = m_jobs[NumberOf(stop.job)];
    for (const PlannedPlacement& placement : stop.placements) {
      Task& task = job.tasks[static_cast<std::size_t>(placement.index)];
      ++task.stops;
      ++m_losses[static_cast<std::size_t>(job.job.job_class)].stopped_runs;
      StopTask(job, task);
    }
  }
  m_now += kInterval;
}

bool DelayLoad::is_done() const {
  return std::all_of(m_jobs.begin(), m_jobs.end(),
                     [](const Job& job) { return job.ended_at.has_value(); });
}

LoadFigures DelayLoad::Figures() const {
  LoadFigures figures = m_losses;
  for (const Job& job : m_jobs) {
    ClassFigures& of_class = figures[static_cast<std::size_t>(job.job.job_class)];
    const Milliseconds ended_at = job.ended_at.value_or(m_now);
    const Milliseconds objective = DueAt(job, LengthOf(job)) - job.submitted_at;
    if (ended_at - job.submitted_at <= objective) {
      ++of_class.on_time;
    } else if (ended_at - job.submitted_at <= objective * kLateFactor) {
      ++of_class.late;
    } else {
      ++of_class.worthless;
    }
  }
  return figures;
}

Milliseconds DelayLoad::LongestStay(JobClass job_class) const {
  Milliseconds longest{0};
  for (const Job& job : m_jobs) {
    if (job.job.job_class == job_class) {
      longest = std::max(longest, job.ended_at.value_or(m_now) - job.submitted_at);
    }
  }
  return longest;
}

}  // namespace papayalift
