#include "libraries/lab/lab_snapshot.h"

#include <algorithm>

namespace papayalift {

namespace {

GangView GangOf(const LabState& state, std::size_t index) {
  const LabJob& job = state.jobs[index];
  const JobRun& run = state.runs[index];
  const AttemptWork& work = run.work.back();
  GangView gang;
  gang.job = job.id;
  gang.workspace = job.spec.workspace;
  gang.zone = run.zone;
  gang.shape = job.spec.shape;
  gang.claim = run.claim;
  gang.phase = run.phase;
  gang.urgency = job.spec.urgency;
  gang.tasks = run.tasks;
  if (run.phase != PlacementPhase::kReserved) {
    const Milliseconds seen = state.now - state.scenario.timing.report_lag;
    gang.running_for = std::max(Milliseconds(0), seen - work.ran_from);
  }
  gang.since_checkpoint = gang.running_for % state.scenario.timing.checkpoint_interval;
  gang.attained_time = run.attained_time + (state.now - work.held_from);
  gang.declared_run_time = job.spec.declared_run_time;
  return gang;
}

WaitingJob WaitingOf(const LabState& state, std::size_t index) {
  const LabJob& job = state.jobs[index];
  const JobRun& run = state.runs[index];
  WaitingJob waiting;
  waiting.job = job.id;
  waiting.workspace = job.spec.workspace;
  waiting.shape = job.spec.shape;
  waiting.urgency = job.spec.urgency;
  waiting.waiting_for = state.now - run.waiting_since;
  waiting.attained_time = run.attained_time;
  waiting.declared_run_time = job.spec.declared_run_time;
  return waiting;
}

}  // namespace

Snapshot SnapshotOf(const LabState& state) {
  Snapshot snapshot;
  snapshot.workspaces = state.bundle.workspaces;
  snapshot.zones = state.zones;
  for (const auto& [zone, changed_at] : state.zone_changed_at) {
    snapshot.time_since_zone_change[zone] = state.now - changed_at;
  }
  snapshot.workers = state.fleet.views();
  snapshot.gangs.reserve(state.holding.size());
  for (const std::size_t index : state.holding) {
    snapshot.gangs.push_back(GangOf(state, index));
  }
  snapshot.waiting.reserve(state.waiting.size());
  for (const std::size_t index : state.waiting) {
    snapshot.waiting.push_back(WaitingOf(state, index));
  }
  return snapshot;
}

}  // namespace papayalift
