#include "libraries/node/fleet_summary.h"

#include <algorithm>
#include <tuple>

namespace papayalift {

namespace {

using FreeMap = std::map<WorkerId, AcceleratorSet>;

FreeMap FreeOf(const FleetView& view) {
  FreeMap free;
  for (const WorkerSpec& worker : view.bundle->bundle.workers) {
    free[worker.id] = AcceleratorSet::First(worker.accelerators);
  }
  for (const auto& [job, placement] : view.placements) {
    for (const TaskPlacement& task : placement->value.tasks) {
      const auto found = free.find(task.worker);
      if (found != free.end()) {
        found->second = found->second.Without(task.accelerators);
      }
    }
  }
  return free;
}

std::vector<ZoneSummary> ZonesOf(const FleetView& view, const FreeMap& free) {
  std::vector<ZoneSummary> zones;
  for (const ZoneSpec& spec : view.bundle->bundle.zones) {
    ZoneSummary zone;
    zone.zone = spec.id;
    zone.state = view.zones.value.StateOf(spec.id);
    for (const WorkerSpec& worker : view.bundle->bundle.workers) {
      if (worker.zone == spec.id) {
        zone.accelerators += worker.accelerators;
        zone.free += free.at(worker.id).Count();
      }
    }
    zones.push_back(std::move(zone));
  }
  return zones;
}

std::vector<RackSummary> RacksOf(const FleetView& view, const FreeMap& free) {
  std::map<std::tuple<ZoneId, RackId>, RackSummary> racks;
  for (const WorkerSpec& worker : view.bundle->bundle.workers) {
    RackSummary& rack = racks[std::tuple(worker.zone, worker.rack)];
    rack.zone = worker.zone;
    rack.rack = worker.rack;
    rack.workers.push_back(
        WorkerSummary{worker.id, AcceleratorSet::First(worker.accelerators), free.at(worker.id)});
  }
  std::vector<RackSummary> list;
  list.reserve(racks.size());
  for (auto& [key, rack] : racks) {
    list.push_back(std::move(rack));
  }
  return list;
}

AcceleratorCount GuaranteedTo(const WorkspaceSpec& workspace) {
  AcceleratorCount guaranteed;
  for (const Guarantee& guarantee : workspace.guarantees) {
    guaranteed += AcceleratorCount(guarantee.shape.Total().value() * guarantee.count);
  }
  return guaranteed;
}

WorkspaceSummary WorkspaceOf(const WorkspaceSpec& spec, const FleetView& view) {
  WorkspaceSummary workspace;
  workspace.workspace = spec.id;
  workspace.quota = spec.quota;
  workspace.guaranteed = GuaranteedTo(spec);
  for (const auto& [job, placement] : view.placements) {
    if (placement->value.workspace == spec.id) {
      AcceleratorCount& held =
          placement->value.claim == Claim::kGuaranteed ? workspace.used : workspace.borrowed;
      held += placement->value.shape.Total();
    }
  }
  for (const auto& [id, job] : view.jobs) {
    const bool waits =
        job->value.state == JobState::kQueued && job->value.spec.workspace == spec.id;
    workspace.waiting_jobs += waits ? 1 : 0;
  }
  if (workspace.waiting_jobs > 0 && workspace.guaranteed > workspace.used) {
    workspace.owed = workspace.guaranteed - workspace.used;
  }
  return workspace;
}

Shape LargestShape(const Bundle& bundle) {
  Shape largest;
  for (const WorkspaceSpec& workspace : bundle.workspaces) {
    for (const Guarantee& guarantee : workspace.guarantees) {
      if (guarantee.shape.Total() > largest.Total()) {
        largest = guarantee.shape;
      }
    }
  }
  return largest;
}

/// Number of tasks of `shape` that fit on the free accelerators of one worker.
int TasksOn(const WorkerSummary& worker, const Shape& shape) {
  int tasks = 0;
  AcceleratorSet free = worker.free;
  while (const std::optional<AcceleratorSet> run = free.FindBestFit(shape.accelerators_per_task)) {
    free = free.Without(*run);
    ++tasks;
  }
  return tasks;
}

double FragmentationOf(const FleetSummary& summary, const Shape& shape) {
  int free = 0;
  int usable = 0;
  for (const ZoneSummary& zone : summary.zones) {
    if (zone.state == ZoneState::kOut) {
      continue;
    }
    int tasks = 0;
    for (const RackSummary& rack : summary.racks) {
      for (const WorkerSummary& worker : rack.workers) {
        tasks += rack.zone == zone.zone ? TasksOn(worker, shape) : 0;
      }
    }
    free += zone.free.value();
    usable += tasks / shape.tasks.value() * shape.Total().value();
  }
  return free == 0 ? 0.0 : 1.0 - static_cast<double>(usable) / free;
}

}  // namespace

FleetSummary Summarize(const FleetView& view) {
  FleetSummary summary;
  for (const auto& [id, job] : view.jobs) {
    ++summary.jobs[job->value.state];
  }
  if (view.bundle == nullptr) {
    return summary;
  }
  const FreeMap free = FreeOf(view);
  summary.zones = ZonesOf(view, free);
  summary.racks = RacksOf(view, free);
  for (const WorkspaceSpec& workspace : view.bundle->bundle.workspaces) {
    summary.workspaces.push_back(WorkspaceOf(workspace, view));
  }
  summary.fragmentation = FragmentationOf(summary, LargestShape(view.bundle->bundle));
  return summary;
}

}  // namespace papayalift
