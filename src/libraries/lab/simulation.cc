#include "libraries/lab/simulation.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

#include "libraries/lab/job_groups.h"
#include "libraries/lab/lab_snapshot.h"
#include "libraries/lab/random_source.h"
#include "libraries/lab/shape_text.h"
#include "libraries/lab/work_meter.h"

namespace papayalift {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

TimeWindows ZoneChangesOf(const Scenario& scenario) {
  TimeWindows windows;
  for (const ZoneChange& change : scenario.zone_changes) {
    windows.Add(change.out, change.back + scenario.timing.zone_settle);
  }
  return windows;
}

JobCounts CountJobs(const LabState& state) {
  JobCounts counts;
  for (std::size_t index = 0; index < state.jobs.size(); ++index) {
    const RunState end = state.runs[index].state;
    const bool refused = end == RunState::kRefused;
    const bool never = state.jobs[index].feasibility == Feasibility::kInfeasible;
    counts.submitted += end == RunState::kPending ? 0 : 1;
    counts.refused += refused ? 1 : 0;
    counts.wrongly_accepted += never && !refused ? 1 : 0;
    counts.wrongly_refused += refused && !never ? 1 : 0;
    counts.done += end == RunState::kDone ? 1 : 0;
    counts.cancelled += end == RunState::kCancelled ? 1 : 0;
    counts.unfinished += end == RunState::kWaiting || end == RunState::kHolding ? 1 : 0;
  }
  return counts;
}

}  // namespace

Simulation::Simulation(const Scenario& scenario, std::uint64_t seed, DecideFunction decide)
    : m_scenario(scenario),
      m_decide(std::move(decide)),
      m_state(scenario, seed),
      m_gangs(m_state, m_events),
      m_zone_changes(ZoneChangesOf(scenario)),
      m_capacity(scenario, m_zone_changes),
      m_guarantees(m_state, m_zone_changes),
      m_failure_counts(m_state.bundle.workers.size(), 0) {
  AddEvents(seed);
  m_capacity.RecordState(m_state);
}

void Simulation::AddEvents(std::uint64_t seed) {
  for (std::size_t index = 0; index < m_state.jobs.size(); ++index) {
    const LabJob& job = m_state.jobs[index];
    m_positions[job.id] = index;
    m_events.Add(LabEvent{job.submit_at, LabEventKind::kSubmit, index});
    if (job.cancel_at) {
      m_events.Add(LabEvent{*job.cancel_at, LabEventKind::kCancel, index});
    }
  }
  for (std::size_t change = 0; change < m_scenario.zone_changes.size(); ++change) {
    const ZoneChange& zone_change = m_scenario.zone_changes[change];
    m_events.Add(LabEvent{zone_change.out, LabEventKind::kZoneOut, change});
    m_events.Add(LabEvent{zone_change.back, LabEventKind::kZoneBack, change});
  }
  AddFailingWorkers(seed);
}

void Simulation::AddFailingWorkers(std::uint64_t seed) {
  RandomSource random(seed, "failing workers");
  for (const FailingWorkers& failing : m_scenario.failing_workers) {
    for (int count = 0; count < failing.count; ++count) {
      const std::size_t worker = random.UniformIndex(m_state.bundle.workers.size());
      m_events.Add(LabEvent{failing.from, LabEventKind::kFailingFrom, worker});
      m_events.Add(LabEvent{failing.until, LabEventKind::kFailingUntil, worker});
    }
  }
}

RunReport Simulation::Run() {
  const Milliseconds end = m_scenario.timing.length + m_scenario.timing.drain;
  while (!m_events.empty() && m_events.NextTime() <= end) {
    ProcessEventsAt(m_events.NextTime());
  }
  const bool all_ended = m_state.waiting.empty() && m_state.holding.empty();
  m_state.now = std::max(m_state.now, all_ended ? m_scenario.timing.length : end);
  m_capacity.Advance(m_state);
  m_gangs.CloseAttempts();
  m_guarantees.Finish();
  return Report();
}

/// Applies all events at time `at` before a single scheduling pass.
void Simulation::ProcessEventsAt(Milliseconds at) {
  m_state.now = at;
  m_capacity.Advance(m_state);
  while (!m_events.empty() && m_events.NextTime() == at) {
    Apply(m_events.Pop());
    m_invariants.Check(m_state);
  }
  m_guarantees.Observe();
  RunPass();
  m_invariants.Check(m_state);
  m_guarantees.Observe();
  m_capacity.RecordState(m_state);
}

void Simulation::Apply(const LabEvent& event) {
  if (!IsCurrent(event)) {
    return;
  }
  switch (event.kind) {
    case LabEventKind::kSubmit:
      return m_gangs.Submit(event.subject);
    case LabEventKind::kCancel:
      return m_gangs.Cancel(event.subject);
    case LabEventKind::kCommit:
      return m_gangs.Commit(event.subject);
    case LabEventKind::kEnd:
      return m_gangs.Complete(event.subject);
    case LabEventKind::kStopped:
      return m_gangs.FinishStop(event.subject);
    case LabEventKind::kFail:
      return m_gangs.FailAttempt(event.subject);
    case LabEventKind::kCanaryPassed:
      return m_gangs.PassCanary(event.subject);
    case LabEventKind::kZoneOut:
      return SetZone(event.subject, ZoneState::kOut);
    case LabEventKind::kZoneBack:
      return SetZone(event.subject, ZoneState::kIn);
    case LabEventKind::kFailingFrom:
      return SetFailing(event.subject, 1);
    case LabEventKind::kFailingUntil:
      return SetFailing(event.subject, -1);
    case LabEventKind::kPass:
      return;
  }
}

/// False for an event of an attempt that has ended.
bool Simulation::IsCurrent(const LabEvent& event) const {
  if (event.attempt == 0) {
    return true;
  }
  const JobRun& run = m_state.runs[event.subject];
  return run.state == RunState::kHolding && run.attempt == event.attempt;
}

void Simulation::SetZone(std::size_t change, ZoneState zone_state) {
  const ZoneId& zone = m_scenario.zone_changes[change].zone;
  m_state.zones.epoch = m_state.zones.epoch.Next();
  m_state.zones.states[zone] = zone_state;
  m_state.zone_changed_at[zone] = m_state.now;
}

void Simulation::SetFailing(std::size_t worker, int change) {
  m_failure_counts[worker] += change;
  m_state.fleet.SetFailing(worker, m_failure_counts[worker] > 0);
}

void Simulation::RunPass() {
  const Snapshot snapshot = SnapshotOf(m_state);
  const std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
  const Decision decision = m_decide(snapshot);
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - began;
  m_pass_microseconds.push_back(took.count());
  for (const StopDecision& stop : decision.stops) {
    Stop(stop);
  }
  for (const StartDecision& start : decision.starts) {
    Start(start);
  }
  ScheduleNextPass();
}

void Simulation::Start(const StartDecision& start) {
  const auto position = m_positions.find(start.job);
  const bool waits = position != m_positions.end() && m_state.waiting.contains(position->second);
  if (waits) {
    const int conflicts = m_gangs.Reserve(position->second, start.zone, start.claim, start.tasks);
    m_invariants.OnStart(m_state, position->second, conflicts);
  }
}

void Simulation::Stop(const StopDecision& stop) {
  const auto position = m_positions.find(stop.job);
  const bool holds = position != m_positions.end() && m_state.holding.contains(position->second);
  if (holds) {
    m_gangs.Stop(position->second, AfterStop::kQueueAgain);
  }
}

void Simulation::ScheduleNextPass() {
  if (!m_state.waiting.empty() && m_next_pass <= m_state.now) {
    m_next_pass = m_state.now + m_scenario.timing.pass_interval;
    m_events.Add(LabEvent{m_next_pass, LabEventKind::kPass});
  }
}

RunReport Simulation::Report() {
  RunReport report;
  report.scenario = m_scenario.name;
  report.jobs = CountJobs(m_state);
  report.jobs.requeued = m_gangs.requeued();
  report.overall = ReportAllJobs(m_state);
  report.by_class = ReportByClass(m_state);
  report.by_size = ReportBySize(m_state);
  report.largest_shape = ShapeText(m_capacity.largest_shape());
  report.fragmentation = m_capacity.fragmentation();
  report.fragmentation_floor = m_capacity.fragmentation_floor();
  report.utilisation = m_capacity.utilisation();
  WorkMeter work(m_zone_changes);
  for (std::size_t index = 0; index < m_state.jobs.size(); ++index) {
    work.Add(m_state.runs[index], m_state.jobs[index].spec.shape.Total());
  }
  report.work = work.total();
  report.work_in_zone_changes = work.in_zone_changes();
  report.allowed_in_zone_changes = m_capacity.allowed_hours();
  report.urgent_claims = m_guarantees.urgent();
  report.normal_claims = m_guarantees.normal();
  report.invariants = m_invariants.report();
  report.passes = static_cast<int>(m_pass_microseconds.size());
  const double micros =
      std::accumulate(m_pass_microseconds.begin(), m_pass_microseconds.end(), 0.0);
  report.cost.per_second = micros > 0.0 ? report.passes * kMicrosecondsPerSecond / micros : 0.0;
  report.cost.microseconds = Summarize(m_pass_microseconds);
  return report;
}

}  // namespace papayalift
