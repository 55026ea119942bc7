#include "libraries/lab/gang_lifecycle.h"

#include <algorithm>

#include "libraries/decisions/feasibility.h"
#include "libraries/lab/random_source.h"

namespace papayalift {

void GangLifecycle::Submit(std::size_t index) {
  JobRun& run = m_state.runs[index];
  const LabJob& job = m_state.jobs[index];
  if (InfeasibilityReason(job.spec, m_state.bundle)) {
    run.state = RunState::kRefused;
    return;
  }
  run.state = RunState::kWaiting;
  run.waiting_since = m_state.now;
  m_state.waiting.insert(index);
  m_state.demand[run.workspace] += job.spec.shape.Total();
}

void GangLifecycle::Cancel(std::size_t index) {
  const RunState state = m_state.runs[index].state;
  if (state == RunState::kWaiting) {
    Finish(index, RunState::kCancelled);
  } else if (state == RunState::kHolding) {
    Stop(index, AfterStop::kCancel);
  }
}

int GangLifecycle::Reserve(std::size_t index, const ZoneId& zone, Claim claim,
                           const std::vector<TaskPlacement>& tasks) {
  JobRun& run = m_state.runs[index];
  m_state.waiting.erase(index);
  m_state.holding.insert(index);
  run.state = RunState::kHolding;
  run.phase = PlacementPhase::kReserved;
  run.after_stop = AfterStop::kQueueAgain;
  run.zone = zone;
  run.claim = claim;
  run.tasks = tasks;
  ++run.attempt;
  AttemptWork work;
  work.held_from = m_state.now;
  work.ran_from = m_state.now;
  run.work.push_back(work);
  AddEvent(m_state.scenario.timing.start_delay, LabEventKind::kCommit, index);
  return m_state.fleet.Hold(tasks);
}

void GangLifecycle::Commit(std::size_t index) {
  JobRun& run = m_state.runs[index];
  if (run.phase != PlacementPhase::kReserved) {
    return;
  }
  if (m_state.zones.StateOf(run.zone) == ZoneState::kOut) {
    Requeue(index);
    return;
  }
  run.phase = PlacementPhase::kCommitted;
  run.work.back().ran_from = m_state.now;
  const RunTiming& timing = m_state.scenario.timing;
  run.outcome =
      m_state.fleet.FailingWorkerOf(run.tasks) < 0 ? AttemptOutcome::kRuns : AttemptOutcome::kFails;
  if (run.outcome == AttemptOutcome::kFails) {
    AddEvent(timing.failure_time + timing.report_lag, LabEventKind::kFail, index);
    return;
  }
  run.first_run = run.first_run.value_or(m_state.now);
  AddEvent(Remaining(index) + timing.report_lag, LabEventKind::kEnd, index);
  if (m_state.fleet.AnyOnProbation(run.tasks)) {
    AddEvent(timing.canary_time + timing.report_lag, LabEventKind::kCanaryPassed, index);
  }
}

void GangLifecycle::Stop(std::size_t index, AfterStop after) {
  JobRun& run = m_state.runs[index];
  if (run.phase == PlacementPhase::kStopping) {
    run.after_stop = after == AfterStop::kCancel ? after : run.after_stop;
    return;
  }
  const Milliseconds ran = RanUntilNow(index);
  const bool ended = run.phase == PlacementPhase::kCommitted &&
                     run.outcome == AttemptOutcome::kRuns && ran >= Remaining(index);
  if (ended) {
    return;
  }
  const bool kept = after == AfterStop::kCancel || !CheckpointFails(index);
  RecordProgress(index, ran, kept ? ran : LastPeriodicCheckpoint(ran));
  run.after_stop = after;
  const bool runs = run.phase == PlacementPhase::kCommitted;
  run.phase = PlacementPhase::kStopping;
  AddEvent(runs ? m_state.scenario.timing.stop_grace : Milliseconds(0), LabEventKind::kStopped,
           index);
}

void GangLifecycle::FinishStop(std::size_t index) {
  const JobRun& run = m_state.runs[index];
  if (run.phase != PlacementPhase::kStopping) {
    return;
  }
  if (run.after_stop == AfterStop::kCancel) {
    Finish(index, RunState::kCancelled);
  } else {
    Requeue(index);
  }
}

void GangLifecycle::Complete(std::size_t index) {
  if (m_state.runs[index].phase != PlacementPhase::kCommitted) {
    return;
  }
  const Milliseconds remaining = Remaining(index);
  RecordProgress(index, remaining, remaining);
  Finish(index, RunState::kDone);
}

void GangLifecycle::FailAttempt(std::size_t index) {
  const JobRun& run = m_state.runs[index];
  if (run.phase != PlacementPhase::kCommitted) {
    return;
  }
  const int worker = m_state.fleet.FailingWorkerOf(run.tasks);
  if (worker >= 0) {
    m_state.fleet.SetHealth(static_cast<std::size_t>(worker), WorkerHealth::kProbation);
  }
  Requeue(index);
}

void GangLifecycle::PassCanary(std::size_t index) {
  const JobRun& run = m_state.runs[index];
  if (run.phase == PlacementPhase::kCommitted) {
    m_state.fleet.PassCanary(run.tasks);
  }
}

void GangLifecycle::CloseAttempts() {
  for (const std::size_t index : m_state.holding) {
    JobRun& run = m_state.runs[index];
    if (run.phase != PlacementPhase::kStopping) {
      const Milliseconds ran = std::min(RanUntilNow(index), Remaining(index));
      RecordProgress(index, ran, ran);
    }
    run.work.back().held_until = m_state.now;
  }
}

void GangLifecycle::AddEvent(Milliseconds delay, LabEventKind kind, std::size_t index) {
  m_events.Add(LabEvent{m_state.now + delay, kind, index, m_state.runs[index].attempt});
}

Milliseconds GangLifecycle::Remaining(std::size_t index) const {
  return m_state.jobs[index].run_time - m_state.runs[index].checkpoint;
}

Milliseconds GangLifecycle::RanUntilNow(std::size_t index) const {
  const JobRun& run = m_state.runs[index];
  const bool runs = run.phase == PlacementPhase::kCommitted && run.outcome == AttemptOutcome::kRuns;
  return runs ? m_state.now - run.work.back().ran_from : Milliseconds(0);
}

void GangLifecycle::RecordProgress(std::size_t index, Milliseconds ran, Milliseconds kept) {
  JobRun& run = m_state.runs[index];
  AttemptWork& work = run.work.back();
  work.ran = ran;
  work.kept = kept;
  work.repeated = std::min(ran, run.max_progress - run.checkpoint);
  run.max_progress = std::max(run.max_progress, run.checkpoint + ran);
  run.checkpoint += kept;
}

bool GangLifecycle::CheckpointFails(std::size_t index) const {
  const JobRun& run = m_state.runs[index];
  // The seed depends only on job and attempt, so the result is the same under every policy.
  RandomSource random(static_cast<std::uint64_t>(run.attempt),
                      m_state.jobs[index].id.text() + "/checkpoint");
  return random.Bernoulli(m_state.scenario.timing.checkpoint_failures);
}

Milliseconds GangLifecycle::LastPeriodicCheckpoint(Milliseconds ran) const {
  return ran - ran % m_state.scenario.timing.checkpoint_interval;
}

void GangLifecycle::ReleaseAccelerators(std::size_t index) {
  JobRun& run = m_state.runs[index];
  AttemptWork& work = run.work.back();
  work.held_until = m_state.now;
  run.attained_time += work.held_until - work.held_from;
  m_state.fleet.Release(run.tasks);
  run.tasks.clear();
  m_state.holding.erase(index);
}

void GangLifecycle::Requeue(std::size_t index) {
  ReleaseAccelerators(index);
  JobRun& run = m_state.runs[index];
  run.state = RunState::kWaiting;
  run.waiting_since = m_state.now;
  m_state.waiting.insert(index);
  ++m_requeued;
}

void GangLifecycle::Finish(std::size_t index, RunState end) {
  JobRun& run = m_state.runs[index];
  if (run.state == RunState::kHolding) {
    ReleaseAccelerators(index);
  }
  m_state.waiting.erase(index);
  run.state = end;
  run.ended_at = m_state.now;
  m_state.demand[run.workspace] -= m_state.jobs[index].spec.shape.Total();
}

}  // namespace papayalift
