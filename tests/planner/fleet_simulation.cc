#include "planner/fleet_simulation.h"

#include <algorithm>
#include <cstdlib>

namespace papayalift {

namespace {

constexpr Milliseconds kInterval{100};
constexpr std::int64_t kAccelerators = 8;
constexpr Resources kMinionCapacity{32'000, 128'000, kAccelerators};
/// Jobs are on time within this many times their length and a second.
constexpr int kSlackFactor = 2;
constexpr Milliseconds kLatencyTarget{1'000};
/// After a tenth of its duration a run shows when it will end.
constexpr int kShareThatShowsRate = 10;

MinionId MinionName(std::size_t number) { return MinionId("m" + std::to_string(1'000 + number)); }

/// The same share of each kind of resource.
Resources NeedsOf(const SimulatedStep& step) {
  return Resources{kMinionCapacity.cpu_milli / kAccelerators * step.accelerators, 500,
                   step.accelerators};
}

}  // namespace

FleetSimulation::FleetSimulation(const SimulationSettings& settings) : m_settings(settings) {}

void FleetSimulation::Submit(const SimulatedStep& step) {
  m_waiting.push_back(m_outcomes.size());
  m_outcomes.push_back(SimulatedOutcome{step, m_now, std::nullopt, std::nullopt});
}

void FleetSimulation::ReplaceLeader(Milliseconds pause) {
  m_paused_until = m_now + pause;
  m_leader_since = m_paused_until;
}

void FleetSimulation::Advance() {
  EndRuns();
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
  const Milliseconds duration = m_outcomes[run.outcome].step.duration;
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
  for (int index = 0; index < known.step.width; ++index) {
    pending.task_indexes.push_back(index);
  }
  pending.priority = Priority(1);
  const Milliseconds since = std::max(known.arrived_at, m_leader_since);
  pending.waited = m_settings.hides_waits ? Milliseconds(0) : m_now - since;
  pending.slack = pending.spec.estimate * (kSlackFactor - 1) + kLatencyTarget - (m_now - since);
  return pending;
}

void FleetSimulation::EndRuns() {
  std::erase_if(m_running, [this](const Run& run) {
    SimulatedOutcome& outcome = m_outcomes[run.outcome];
    const bool has_ended = m_now - run.began_at >= outcome.step.duration;
    if (has_ended) {
      outcome.ended_at = m_now;
    }
    return has_ended;
  });
}

void FleetSimulation::Start(const PlannedStart& start) {
  const std::size_t outcome = std::stoul(start.job.text().substr(1)) - 1'000'000;
  m_outcomes[outcome].started_at = m_now;
  std::erase(m_waiting, outcome);
  for (const PlannedPlacement& placement : start.placements) {
    m_running.push_back(Run{outcome, std::stoul(placement.minion.text().substr(1)) - 1'000, m_now});
  }
}

}  // namespace papayalift
