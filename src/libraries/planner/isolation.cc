#include "libraries/planner/isolation.h"

namespace papayalift {

namespace {

/// The fastest minion without runs on which a task of the step fits; null if there is none.
const MinionCapacity* FindIdleMinion(const PendingStep& pending, const PlanCapacity& capacity) {
  const MinionCapacity* best = nullptr;
  for (const MinionCapacity& candidate : capacity.minions()) {
    const bool fits = candidate.is_idle && pending.spec.needs.Fits(candidate.free) &&
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
  if (pending.isolated.size() == 1) {
    // Without a copy of the capacity, which is large.
    const MinionCapacity* const idle = FindIdleMinion(pending, capacity);
    return idle == nullptr
               ? std::vector<PlannedPlacement>()
               : std::vector<PlannedPlacement>{{*pending.isolated.begin(), idle->minion->id}};
  }
  PlanCapacity remaining = capacity;
  std::vector<PlannedPlacement> placements;
  for (const int index : pending.isolated) {
    const MinionCapacity* const idle = FindIdleMinion(pending, remaining);
    if (idle == nullptr) {
      return {};
    }
    const MinionId id = idle->minion->id;
    placements.push_back(PlannedPlacement{index, id});
    remaining.Occupy(id);
  }
  return placements;
}

std::optional<FoundPlacements> FindIsolatedGang(const PendingStep& pending,
                                                const PlanCapacity& capacity) {
  const std::vector<PlannedPlacement> isolated = FindIsolatedPlacements(pending, capacity);
  if (isolated.empty()) {
    return std::nullopt;
  }
  const PendingStep rest = WithoutIsolated(pending);
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
    const bool is_usable = needs.Fits(candidate.free) && IsEligible(pending, *candidate.minion) &&
                           pending.spec.needs.Fits(candidate.minion->capacity);
    if (is_usable && (best == nullptr || candidate.free.accelerators > best->free.accelerators)) {
      best = &candidate;
    }
  }
  return best == nullptr ? std::nullopt : std::optional<MinionId>(best->minion->id);
}

bool HasWaitedForIsolation(const PendingStep& pending, const PlanCapacity& capacity) {
  return pending.waited >= (capacity.has_spare_capacity()
                                ? pending.max_isolation_wait_with_spare_capacity
                                : pending.max_isolation_wait);
}

PendingStep WithoutIsolated(const PendingStep& pending) {
  PendingStep rest = pending;
  std::erase_if(rest.task_indexes,
                [&pending](int index) { return pending.isolated.contains(index); });
  rest.isolated.clear();
  return rest;
}

}  // namespace papayalift
