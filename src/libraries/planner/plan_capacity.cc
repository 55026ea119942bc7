#include "libraries/planner/plan_capacity.h"

#include <algorithm>

namespace papayalift {

namespace {

Resources Least(const Resources& left, const Resources& right) {
  return Resources{std::min(left.cpu_milli, right.cpu_milli),
                   std::min(left.memory_mb, right.memory_mb),
                   std::min(left.accelerators, right.accelerators)};
}

}  // namespace

PlanCapacity::PlanCapacity(const PlanSnapshot& snapshot) {
  std::int64_t all = 0;
  std::int64_t free = 0;
  for (const PlanMinion& minion : snapshot.minions) {
    m_index_by_minion[minion.id] = m_minions.size();
    m_racks[minion.rack].push_back(m_minions.size());
    const Resources free_after_stops = minion.free + minion.being_freed;
    m_minions.push_back(MinionCapacity{&minion, minion.free, free_after_stops, free_after_stops});
    all += minion.capacity.accelerators;
    free += minion.free.accelerators;
  }
  m_accelerator_use = all == 0 ? 1 : 1 - static_cast<double>(free) / static_cast<double>(all);
  for (const PlanVictim& victim : snapshot.victims) {
    if (victim.is_borrower) {
      continue;
    }
    for (const PlannedPlacement& placement : victim.placements) {
      if (MinionCapacity* const capacity = Find(placement.minion); capacity != nullptr) {
        capacity->free_after_reclaim += victim.needs_per_task;
      }
    }
  }
}

const std::vector<std::size_t>& PlanCapacity::OnRack(const RackId& rack) const {
  static const std::vector<std::size_t> kNone;
  const auto found = m_racks.find(rack);
  return found == m_racks.end() ? kNone : found->second;
}

std::int64_t PlanCapacity::free_accelerators() const {
  std::int64_t sum = 0;
  for (const MinionCapacity& minion : m_minions) {
    sum += minion.free.accelerators;
  }
  return sum;
}

MinionCapacity* PlanCapacity::Find(const MinionId& id) {
  const auto found = m_index_by_minion.find(id);
  return found == m_index_by_minion.end() ? nullptr : &m_minions[found->second];
}

void PlanCapacity::Allocate(const MinionId& id, const Resources& needs) {
  MinionCapacity& capacity = *Find(id);
  capacity.free -= needs;
  capacity.free_after_stops -= needs;
  capacity.free_after_reclaim -= needs;
}

void PlanCapacity::Reserve(const MinionId& id, const Resources& needs) {
  MinionCapacity& capacity = *Find(id);
  capacity.free_after_stops -= needs;
  capacity.free_after_reclaim -= needs;
  capacity.free = Least(capacity.free, capacity.free_after_stops);
}

void PlanCapacity::AddBeingFreed(const MinionId& id, const Resources& freed) {
  if (MinionCapacity* const capacity = Find(id); capacity != nullptr) {
    capacity->free_after_stops += freed;
  }
}

}  // namespace papayalift
