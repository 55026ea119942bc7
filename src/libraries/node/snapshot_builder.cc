#include "libraries/node/snapshot_builder.h"

#include <algorithm>

namespace papayalift {

namespace {

GangView GangOf(const PlacementRecord& placement, const FleetView& view, Milliseconds wall_now) {
  GangView gang;
  gang.job = placement.job;
  gang.workspace = placement.workspace;
  gang.zone = placement.zone;
  gang.shape = placement.shape;
  gang.claim = placement.claim;
  gang.phase = placement.phase;
  gang.tasks = placement.tasks;
  gang.running_for = wall_now - placement.reserved_at;
  gang.since_checkpoint = gang.running_for;
  const auto job = view.jobs.find(placement.job);
  if (job != view.jobs.end()) {
    gang.urgency = job->second->value.spec.urgency;
    gang.attained_time = job->second->value.attained + gang.running_for;
    gang.declared_run_time = job->second->value.spec.declared_run_time;
  }
  return gang;
}

WaitingJob WaitingOf(const JobRecord& job, Milliseconds wall_now) {
  WaitingJob waiting;
  waiting.job = job.id;
  waiting.workspace = job.spec.workspace;
  waiting.shape = job.spec.shape;
  waiting.urgency = job.spec.urgency;
  waiting.waiting_for = wall_now - job.queued_at;
  waiting.attained_time = job.attained;
  waiting.declared_run_time = job.spec.declared_run_time;
  return waiting;
}

}  // namespace

Snapshot BuildSnapshot(const FleetView& view, Milliseconds wall_now, const VmList* vms) {
  Snapshot snapshot;
  const Bundle& bundle = view.bundle->bundle;
  snapshot.workspaces = bundle.workspaces;
  snapshot.zones = view.zones.value;
  for (const WorkerSpec& worker : bundle.workers) {
    const bool takes_work = vms == nullptr || vms->TakesWork(worker.id.text());
    snapshot.workers.push_back(
        WorkerView{worker.id, worker.zone, worker.rack, worker.accelerators,
                   takes_work ? WorkerHealth::kHealthy : WorkerHealth::kUnavailable});
  }
  for (const auto& [job, placement] : view.placements) {
    snapshot.gangs.push_back(GangOf(placement->value, view, wall_now));
  }
  for (const auto& [id, job] : view.jobs) {
    const bool waits = job->value.state == JobState::kQueued && !view.placements.contains(id);
    if (waits) {
      snapshot.waiting.push_back(WaitingOf(job->value, wall_now));
    }
  }
  std::stable_sort(snapshot.waiting.begin(), snapshot.waiting.end(),
                   [](const WaitingJob& left, const WaitingJob& right) {
                     return left.waiting_for > right.waiting_for;
                   });
  return snapshot;
}

}  // namespace papayalift
