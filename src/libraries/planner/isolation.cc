#include "libraries/planner/isolation.h"

#include <set>
#include <utility>

namespace papayalift {

namespace {

/// The fastest minion without runs, and not taken yet, on which a task of the step fits; null if
/// there is none.
const MinionCapacity* FindIdleMinion(const PendingStep& pending, const PlanCapacity& capacity,
                                     const std::set<MinionId>& taken) {
  const MinionCapacity* best = nullptr;
  for (const MinionCapacity& candidate : capacity.minions()) {
    const bool fits = candidate.is_idle &&
                      pending.spec.needs.Fits(FreeFor(pending, candidate, &MinionCapacity::free)) &&
                      !taken.contains(candidate.minion->id) &&
                      !pending.crashed.contains(candidate.minion->id) &&
                      IsEligible(pending, *candidate.minion);
    if (fits && (best == nullptr || candidate.minion->speed > best->minion->speed)) {
      best = &candidate;
    }
  }
  return best;
}

}  // namespace

std::vector<PlannedPlacement> FindIsolatedPlacements(const PendingStep& pending,
                                                     const PlanCapacity& capacity) {
  std::vector<PlannedPlacement> placements;
  std::set<MinionId> taken;
  for (const int index : pending.isolated) {
    const MinionCapacity* const idle = FindIdleMinion(pending, capacity, taken);
    if (idle == nullptr) {
      break;
    }
    placements.push_back(PlannedPlacement{index, idle->minion->id});
    taken.insert(idle->minion->id);
  }
  return placements;
}

std::optional<FoundPlacements> FindIsolatedGang(const PendingStep& pending,
                                                const PlanCapacity& capacity) {
  const std::vector<PlannedPlacement> isolated = FindIsolatedPlacements(pending, capacity);
  if (isolated.size() < pending.isolated.size()) {
    return std::nullopt;
  }
  PendingStep rest = WithoutIsolated(pending);
  // The gang waits for minions without runs already, so not for a rack as well.
  rest.remote_penalty = Milliseconds(0);
  FoundPlacements found;
  if (!rest.task_indexes.empty()) {
    PlanCapacity remaining = capacity;
    for (const PlannedPlacement& placement : isolated) {
      remaining.Occupy(placement.minion);
    }
    const std::optional<FoundPlacements> others =
        FindGangPlacements(rest, remaining, &MinionCapacity::free);
    if (!others.has_value()) {
      return std::nullopt;
    }
    found = *others;
  }
  found.placements.insert(found.placements.end(), isolated.begin(), isolated.end());
  return found;
}

std::optional<MinionId> FindEmptiestMinion(const PendingStep& pending, const PlanCapacity& capacity,
                                           const Resources& needs) {
  const MinionCapacity* best = nullptr;
  for (const MinionCapacity& candidate : capacity.minions()) {
    const bool is_usable = needs.Fits(FreeFor(pending, candidate, &MinionCapacity::free)) &&
                           IsEligible(pending, *candidate.minion) &&
                           pending.spec.needs.Fits(candidate.minion->capacity);
    const auto free_on = [](const MinionCapacity& minion) {
      return std::pair(minion.free.accelerators, minion.free.cpu_milli);
    };
    if (is_usable && (best == nullptr || free_on(candidate) > free_on(*best))) {
      best = &candidate;
    }
  }
  return best == nullptr ? std::nullopt : std::optional<MinionId>(best->minion->id);
}

bool HasWaitedForIsolation(const PendingStep& pending, const PlanCapacity& capacity) {
  // A guarantee is given back on demand.
  return pending.waited >= (capacity.HasSpareCapacity(pending.service) || pending.is_guaranteed
                                ? pending.max_isolation_wait_with_spare_capacity
                                : pending.max_isolation_wait);
}

PendingStep WithoutPlaced(const PendingStep& pending,
                          const std::vector<PlannedPlacement>& placements) {
  PendingStep rest = pending;
  for (const PlannedPlacement& placement : placements) {
    std::erase(rest.task_indexes, placement.index);
    rest.isolated.erase(placement.index);
    ++rest.placed_on_minion[placement.minion];
  }
  return rest;
}

PendingStep WithoutIsolated(const PendingStep& pending) {
  PendingStep rest = pending;
  std::erase_if(rest.task_indexes,
                [&pending](int index) { return pending.isolated.contains(index); });
  rest.isolated.clear();
  return rest;
}

}  // namespace papayalift
