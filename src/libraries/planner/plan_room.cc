#include "libraries/planner/plan_room.h"

#include <algorithm>

namespace papayalift {

namespace {

Resources Least(const Resources& left, const Resources& right) {
  return Resources{std::min(left.cpu_milli, right.cpu_milli),
                   std::min(left.memory_mb, right.memory_mb),
                   std::min(left.accelerators, right.accelerators)};
}

}  // namespace

PlanRoom::PlanRoom(const PlanSnapshot& snapshot) {
  std::int64_t all = 0;
  std::int64_t free = 0;
  for (const PlanMinion& minion : snapshot.minions) {
    m_places[minion.id] = m_minions.size();
    m_racks[minion.rack].push_back(m_minions.size());
    const Resources soon = minion.free + minion.being_freed;
    m_minions.push_back(MinionRoom{&minion, minion.free, soon, soon});
    all += minion.capacity.accelerators;
    free += minion.free.accelerators;
  }
  m_accelerator_use = all == 0 ? 1 : 1 - static_cast<double>(free) / static_cast<double>(all);
  for (const PlanVictim& victim : snapshot.victims) {
    if (victim.is_borrower) {
      continue;
    }
    for (const PlanTaskPlace& place : victim.places) {
      if (MinionRoom* const room = Find(place.minion); room != nullptr) {
        room->without_victims += victim.needs_each;
      }
    }
  }
}

const std::vector<std::size_t>& PlanRoom::OnRack(const RackId& rack) const {
  static const std::vector<std::size_t> kNone;
  const auto found = m_racks.find(rack);
  return found == m_racks.end() ? kNone : found->second;
}

std::int64_t PlanRoom::free_accelerators() const {
  std::int64_t sum = 0;
  for (const MinionRoom& minion : m_minions) {
    sum += minion.free.accelerators;
  }
  return sum;
}

MinionRoom* PlanRoom::Find(const MinionId& id) {
  const auto found = m_places.find(id);
  return found == m_places.end() ? nullptr : &m_minions[found->second];
}

void PlanRoom::Take(const MinionId& id, const Resources& needs) {
  MinionRoom& room = *Find(id);
  room.free -= needs;
  room.soon -= needs;
  room.without_victims -= needs;
}

void PlanRoom::Reserve(const MinionId& id, const Resources& needs) {
  MinionRoom& room = *Find(id);
  room.soon -= needs;
  room.without_victims -= needs;
  room.free = Least(room.free, room.soon);
}

void PlanRoom::AddSoon(const MinionId& id, const Resources& freed) {
  if (MinionRoom* const room = Find(id); room != nullptr) {
    room->soon += freed;
  }
}

}  // namespace papayalift
