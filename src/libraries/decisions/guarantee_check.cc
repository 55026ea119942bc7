#include "libraries/decisions/guarantee_check.h"

#include <fmt/format.h>

#include <map>
#include <utility>

#include "libraries/decisions/guarantee_book.h"
#include "libraries/decisions/packing.h"

namespace papayalift {

namespace {

using Kind = std::pair<WorkspaceId, Shape>;

Snapshot EmptySnapshotOf(const Bundle& bundle) {
  Snapshot snapshot;
  snapshot.workspaces = bundle.workspaces;
  for (const WorkerSpec& worker : bundle.workers) {
    snapshot.workers.push_back(WorkerView{worker.id, worker.zone, worker.rack, worker.accelerators,
                                          WorkerHealth::kHealthy});
  }
  return snapshot;
}

/// Adds demand after demand and leaves out each that makes the rest impossible.
std::map<Kind, int> MissingKinds(const std::vector<Demand>& demands, const CapacityMap& capacity) {
  std::map<Kind, int> missing;
  for (const Demand& demand : demands) {
    if (!demand.only_zone) {
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

std::map<Kind, int> MissingFrom(const Snapshot& snapshot) {
  const GuaranteeBook book(snapshot, CapacityMap::WithoutGangs(snapshot));
  return MissingKinds(book.unused(), book.reclaimable());
}

void AppendGaps(const std::map<Kind, int>& missing, const std::optional<ZoneId>& zone_out,
                std::vector<GuaranteeGap>& gaps) {
  for (const auto& [kind, count] : missing) {
    if (count > 0) {
      gaps.push_back(GuaranteeGap{kind.first, kind.second, count, zone_out});
    }
  }
}

}  // namespace

std::vector<GuaranteeGap> CheckGuarantees(const Bundle& bundle) {
  std::vector<GuaranteeGap> gaps;
  Snapshot snapshot = EmptySnapshotOf(bundle);
  AppendGaps(MissingFrom(snapshot), std::nullopt, gaps);
  if (!gaps.empty() || bundle.zone_loss == ZoneLossRule::kAccepted) {
    return gaps;
  }
  for (const ZoneSpec& zone : bundle.zones) {
    snapshot.zones.states = {{zone.id, ZoneState::kOut}};
    AppendGaps(MissingFrom(snapshot), zone.id, gaps);
  }
  return gaps;
}

GuaranteeState GuaranteesNow(const Snapshot& snapshot) {
  GuaranteeState state;
  for (const auto& [kind, count] : MissingFrom(snapshot)) {
    std::vector<GuaranteeGap>& list = count > 0 ? state.lost : state.kept;
    list.push_back(GuaranteeGap{kind.first, kind.second, count, std::nullopt});
  }
  return state;
}

std::string Describe(const GuaranteeGap& gap) {
  const std::string when =
      gap.zone_out ? fmt::format(" with zone '{}' out", gap.zone_out->text()) : std::string();
  return fmt::format("workspace '{}': {} of its guaranteed {} times {} adjacent accelerators {}{}",
                     gap.workspace.text(), gap.missing, gap.shape.tasks.value(),
                     gap.shape.accelerators_per_task.value(),
                     gap.missing == 1 ? "has no place" : "have no place", when);
}

}  // namespace papayalift
