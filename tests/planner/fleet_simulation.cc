#include "planner/fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <numeric>

#include "libraries/leader/step_speed.h"

namespace papayalift {

namespace {

constexpr Milliseconds kInterval{100};
constexpr std::int64_t kAccelerators = 8;
constexpr Resources kMinionCapacity{32'000, 128'000, kAccelerators};
/// A run shows its rate after this time.
constexpr Milliseconds kMinMeasurement{600};
constexpr double kWeightOfLaterRates = 0.2;
/// After a tenth of its duration a run shows when it will end.
constexpr int kShareThatShowsRate = 10;

MinionId MinionName(std::size_t number) { return MinionId("m" + std::to_string(1'000 + number)); }

/// The same share of each kind of resource.
Resources NeedsOf(const SimulatedStep& step) {
  return Resources{kMinionCapacity.cpu_milli / kAccelerators * step.accelerators, 500,
                   step.accelerators};
}

}  // namespace

bool SimulatedOutcome::is_on_time() const {
  const Milliseconds objective(
      std::llround(step.slack_factor * static_cast<double>(step.duration.count())) +
      step.latency_target.count());
  return ended_at.has_value() && *ended_at - arrived_at <= objective;
}

FleetSimulation::FleetSimulation(const SimulationSettings& settings) : m_settings(settings) {}

void FleetSimulation::Submit(const SimulatedStep& step) {
  std::vector<int>& tasks = m_waiting_tasks[m_outcomes.size()];
  tasks.resize(static_cast<std::size_t>(step.width));
  std::iota(tasks.begin(), tasks.end(), 0);
  m_waiting.push_back(m_outcomes.size());
  m_outcomes.push_back(SimulatedOutcome{step, m_now, std::nullopt, std::nullopt});
}

void FleetSimulation::ReplaceLeader(Milliseconds pause) {
  m_paused_until = m_now + pause;
  m_leader_since = m_paused_until;
}

void FleetSimulation::Advance() {
  EndRuns();
  if (m_settings.learns_speeds) {
    LearnSpeeds();
  }
  if (m_now >= m_paused_until) {
    for (const PlannedStart& start : PlanTasks(Snapshot()).starts) {
      Start(start);
    }
  }
  for (const Run& run : m_running) {
    m_used_accelerator_milliseconds +=
        static_cast<double>(m_outcomes[run.outcome].step.accelerators * kInterval.count());
  }
  m_now += kInterval;
}

double FleetSimulation::used_share() const {
  return m_used_accelerator_milliseconds /
         static_cast<double>(m_now.count() * m_settings.minions * kAccelerators);
}

Milliseconds FleetSimulation::EstimateOf(std::size_t outcome) const {
  return Milliseconds(static_cast<std::int64_t>(
      m_settings.estimate_factor * static_cast<double>(m_outcomes[outcome].step.duration.count())));
}

PlanSnapshot FleetSimulation::Snapshot() const {
  PlanSnapshot snapshot;
  for (int number = 0; number < m_settings.minions; ++number) {
    PlanMinion& minion = snapshot.minions.emplace_back();
    minion.id = MinionName(static_cast<std::size_t>(number));
    minion.service = ServiceId("pool");
    minion.rack = RackId("r" + std::to_string(number / m_settings.minions_per_rack));
    minion.capacity = kMinionCapacity;
    minion.free = kMinionCapacity;
    minion.is_idle = true;
    const SpeedSpread spread = m_host_speeds.SpreadOf(minion.service);
    if (spread.is_uneven) {
      minion.speed = m_host_speeds.SpeedOf(HostOf(static_cast<std::size_t>(number)), spread, m_now);
      minion.is_fast = minion.speed >= spread.fast_from;
    }
  }
  for (const Run& run : m_running) {
    PlanMinion& minion = snapshot.minions[run.minion];
    const Resources needs = NeedsOf(m_outcomes[run.outcome].step);
    minion.free -= needs;
    minion.is_idle = false;
    minion.runs.push_back(PlanRun{needs, RemainingOf(run)});
  }
  for (const std::size_t outcome : m_waiting) {
    snapshot.pending_steps.push_back(PendingOf(outcome));
  }
  return snapshot;
}

Milliseconds FleetSimulation::RemainingOf(const Run& run) const {
  const Milliseconds duration = run.duration;
  const Milliseconds elapsed = m_now - run.began_at;
  const bool shows_rate = elapsed * kShareThatShowsRate >= duration;
  const Milliseconds left = (shows_rate ? duration : EstimateOf(run.outcome)) - elapsed;
  return Milliseconds(std::abs(left.count()));
}

PendingStep FleetSimulation::PendingOf(std::size_t outcome) const {
  const SimulatedOutcome& known = m_outcomes[outcome];
  PendingStep pending;
  pending.job = JobId("j" + std::to_string(1'000'000 + outcome));
  pending.service = ServiceId("pool");
  pending.workspace = known.step.workspace;
  pending.spec.kind = known.step.kind;
  pending.spec.count = known.step.width;
  pending.spec.needs = NeedsOf(known.step);
  pending.spec.estimate = EstimateOf(outcome);
  pending.task_indexes = m_waiting_tasks.at(outcome);
  pending.priority = known.step.priority;
  const Milliseconds since = std::max(known.arrived_at, m_leader_since);
  pending.waited = m_settings.hides_waits ? Milliseconds(0) : m_now - since;
  const Milliseconds objective(
      std::llround(known.step.slack_factor * static_cast<double>(pending.spec.estimate.count())) +
      known.step.latency_target.count());
  const Milliseconds time_left = objective - (m_now - since);
  pending.slack = time_left - pending.spec.estimate;
  pending.min_speed =
      MinSpeedFor(pending.spec.estimate, time_left, m_host_speeds.SpreadOf(pending.service));
  return pending;
}

void FleetSimulation::EndRuns() {
  std::erase_if(m_running, [this](const Run& run) {
    const bool has_ended = m_now - run.began_at >= run.duration;
    if (has_ended) {
      m_outcomes[run.outcome].ended_at = m_now;
    }
    return has_ended;
  });
  for (const Run& run : m_running) {
    m_outcomes[run.outcome].ended_at.reset();
  }
  for (const std::size_t outcome : m_waiting) {
    m_outcomes[outcome].ended_at.reset();
  }
}

double FleetSimulation::SpeedOf(std::size_t minion) const {
  return m_settings.speeds.empty() ? 1 : m_settings.speeds[minion % m_settings.speeds.size()];
}

double FleetSimulation::DrawWork() {
  std::uniform_real_distribution<double> work(1 - m_settings.work_variation,
                                              1 + m_settings.work_variation);
  std::bernoulli_distribution is_straggler(m_settings.straggler_share);
  const double drawn = m_settings.work_variation > 0 ? work(m_random) : 1;
  return m_settings.straggler_share > 0 && is_straggler(m_random) ? drawn * kStragglerFactor
                                                                  : drawn;
}

HostIdentity FleetSimulation::HostOf(std::size_t minion) const {
  return HostIdentity{"10.0.0.1:" + std::to_string(minion), 1};
}

void FleetSimulation::LearnSpeeds() {
  std::map<std::size_t, std::vector<HostRate>> groups;
  for (Run& run : m_running) {
    const Milliseconds ran = m_now - run.began_at;
    const bool is_alike = m_outcomes[run.outcome].step.kind == WorkStepKind::kIndependentTasks;
    if (is_alike && ran > Milliseconds(0) && ran.count() % kMinMeasurement.count() == 0) {
      HostRate rate;
      rate.host = HostOf(run.minion);
      rate.service = ServiceId("pool");
      rate.run = run.outcome * 1'000 + static_cast<std::size_t>(run.index);
      rate.rate = 1 / static_cast<double>(run.duration.count());
      rate.weight = run.was_measured ? kWeightOfLaterRates : 1;
      run.was_measured = true;
      groups[run.outcome].push_back(rate);
    }
  }
  for (const auto& [outcome, group] : groups) {
    m_host_speeds.Observe(group, m_now);
  }
  m_host_speeds.UpdateSpreads(m_now);
}

void FleetSimulation::Start(const PlannedStart& start) {
  const std::size_t outcome = std::stoul(start.job.text().substr(1)) - 1'000'000;
  SimulatedOutcome& known = m_outcomes[outcome];
  known.started_at = known.started_at.value_or(m_now);
  std::vector<int>& waiting = m_waiting_tasks[outcome];
  std::vector<Run> started;
  Milliseconds longest{0};
  for (const PlannedPlacement& placement : start.placements) {
    const std::size_t minion = std::stoul(placement.minion.text().substr(1)) - 1'000;
    const double work = static_cast<double>(known.step.duration.count()) * DrawWork();
    const Milliseconds duration(std::llround(work / SpeedOf(minion)));
    longest = std::max(longest, duration);
    started.push_back(Run{outcome, minion, m_now, duration, placement.index});
    std::erase(waiting, placement.index);
  }
  for (Run& run : started) {
    if (known.step.kind == WorkStepKind::kGang) {
      run.duration = longest;
    }
    m_running.push_back(run);
  }
  if (waiting.empty()) {
    m_waiting_tasks.erase(outcome);
    std::erase(m_waiting, outcome);
  }
}

}  // namespace papayalift
