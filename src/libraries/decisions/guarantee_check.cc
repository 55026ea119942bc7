#include "libraries/decisions/guarantee_check.h"

#include <fmt/format.h>

#include <map>
#include <utility>

#include "libraries/decisions/guarantee_tracker.h"
#include "libraries/decisions/packing.h"

namespace papayalift {

namespace {

using GuaranteeKey = std::pair<WorkspaceId, Shape>;

Snapshot SnapshotWithoutGangs(const Bundle& bundle) {
  Snapshot snapshot;
  snapshot.workspaces = bundle.workspaces;
  for (const WorkerSpec& worker : bundle.workers) {
    snapshot.workers.push_back(WorkerView{worker.id, worker.zone, worker.rack, worker.accelerators,
                                          WorkerHealth::kHealthy});
  }
  return snapshot;
}

/// Counts the demands that do not fit: adds one after the other and drops each that leaves no
/// packing.
std::map<GuaranteeKey, int> CountMissing(const std::vector<Demand>& demands,
                                         const CapacityMap& capacity) {
  std::map<GuaranteeKey, int> missing;
  for (const Demand& demand : demands) {
    if (!demand.required_zone) {
      missing[{demand.workspace, demand.shape}] = 0;
    }
  }
  if (FindPacking(demands, capacity)) {
    return missing;
  }
  std::vector<Demand> kept;
  for (const Demand& demand : demands) {
    kept.push_back(demand);
    if (!FindPacking(kept, capacity)) {
      kept.pop_back();
      ++missing[{demand.workspace, demand.shape}];
    }
  }
  return missing;
}

std::map<GuaranteeKey, int> CountMissingIn(const Snapshot& snapshot) {
  const GuaranteeTracker tracker(snapshot, CapacityMap::WithoutGangs(snapshot));
  return CountMissing(tracker.unused(), tracker.reclaimable());
}

void AppendShortfalls(const std::map<GuaranteeKey, int>& missing,
                      const std::optional<ZoneId>& zone_out,
                      std::vector<GuaranteeShortfall>& shortfalls) {
  for (const auto& [key, count] : missing) {
    if (count > 0) {
      shortfalls.push_back(GuaranteeShortfall{key.first, key.second, count, zone_out});
    }
  }
}

}  // namespace

std::vector<GuaranteeShortfall> CheckGuarantees(const Bundle& bundle) {
  std::vector<GuaranteeShortfall> shortfalls;
  Snapshot snapshot = SnapshotWithoutGangs(bundle);
  AppendShortfalls(CountMissingIn(snapshot), std::nullopt, shortfalls);
  if (!shortfalls.empty() || bundle.zone_loss == ZoneLossRule::kAccepted) {
    return shortfalls;
  }
  for (const ZoneSpec& zone : bundle.zones) {
    snapshot.zones.states = {{zone.id, ZoneState::kOut}};
    AppendShortfalls(CountMissingIn(snapshot), zone.id, shortfalls);
  }
  return shortfalls;
}

GuaranteeState CurrentGuaranteeState(const Snapshot& snapshot) {
  GuaranteeState state;
  for (const auto& [key, count] : CountMissingIn(snapshot)) {
    std::vector<GuaranteeShortfall>& list = count > 0 ? state.lost : state.kept;
    list.push_back(GuaranteeShortfall{key.first, key.second, count, std::nullopt});
  }
  return state;
}

std::string Describe(const GuaranteeShortfall& shortfall) {
  const std::string when = shortfall.zone_out
                               ? fmt::format(" with zone '{}' out", shortfall.zone_out->text())
                               : std::string();
  return fmt::format("workspace '{}': {} of its guaranteed {} times {} adjacent accelerators {}{}",
                     shortfall.workspace.text(), shortfall.missing, shortfall.shape.tasks.value(),
                     shortfall.shape.accelerators_per_task.value(),
                     shortfall.missing == 1 ? "has no place" : "have no place", when);
}

}  // namespace papayalift
