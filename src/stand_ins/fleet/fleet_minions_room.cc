#include <algorithm>

#include "stand_ins/fleet/fleet_minions.h"

namespace papayalift {

void FleetMinions::SendHeartbeat(const MinionId& id) {
  Minion& minion = m_minions.at(id);
  if (minion.is_reachable && !minion.outage.has_value()) {
    ++minion.heartbeats;
    Publish(minion);
  }
}

void FleetMinions::SetCapacity(const MinionId& id, const Resources& capacity,
                               Publication publication) {
  Minion& minion = m_minions.at(id);
  if (!minion.capacity.Fits(capacity)) {
    minion.former_rooms.push_back(FormerRoom{minion.capacity, m_timers.clock().Now()});
  }
  minion.capacity = capacity;
  if (publication == Publication::kAtOnce && minion.is_reachable) {
    Publish(minion);
  }
}

void FleetMinions::SetCutOffFromStore(const MinionId& id, bool is_cut_off) {
  m_minions.at(id).is_cut_off_from_store = is_cut_off;
}

void FleetMinions::SetCutOffFromCallers(const MinionId& id, std::optional<OutageKind> kind) {
  m_minions.at(id).cut_off_from_callers = kind;
}

void FleetMinions::RemoveSilentEntries() {
  constexpr int kSilentIntervals = 3;
  const Milliseconds limit = m_shrink.heartbeat_interval * kSilentIntervals;
  for (const auto& [id, minion] : m_minions) {
    const std::string key = "servers/" + id.text();
    if (m_timers.clock().Now() - minion.published_at > limit && m_store.Find(key) != nullptr) {
      m_store.Remove(key);
    }
  }
}

void FleetMinions::SetSpeed(const MinionId& id, double speed) { m_minions.at(id).speed = speed; }

void FleetMinions::SetRack(const MinionId& id, const RackId& rack) {
  m_minions.at(id).rack = rack;
  Publish(m_minions.at(id));
}

std::vector<MinionRoom> FleetMinions::Rooms() {
  AdvanceAll();
  std::vector<MinionRoom> rooms;
  for (const auto& [id, minion] : m_minions) {
    if (!minion.outage.has_value()) {
      rooms.push_back(MinionRoom{minion.capacity, AllocatedOn(minion), minion.state});
    }
  }
  return rooms;
}

bool FleetMinions::FitsRoom(const Minion& minion, const Resources& taken,
                            Milliseconds arrived_at) const {
  const Milliseconds counts_for = m_shrink.contact_bound + m_shrink.heartbeat_interval;
  return taken.Fits(minion.capacity) ||
         std::any_of(minion.former_rooms.begin(), minion.former_rooms.end(),
                     [&taken, counts_for, arrived_at](const FormerRoom& room) {
                       return arrived_at <= room.shrunk_at + counts_for &&
                              taken.Fits(room.capacity);
                     });
}

}  // namespace papayalift
