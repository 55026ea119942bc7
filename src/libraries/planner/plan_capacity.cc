#include "libraries/planner/plan_capacity.h"

#include <algorithm>

namespace papayalift {

namespace {

/// Estimates are often too low by half.
constexpr int kBackfillMargin = 2;

/// 0 if more is allocated than the minion has: it may have shrunk below what runs there.
std::int64_t FreeAcceleratorsOf(const MinionCapacity& capacity) {
  return std::max<std::int64_t>(0, capacity.free.accelerators);
}

}  // namespace

bool CapacityHold::EndsBefore(Milliseconds estimate) const {
  return estimate * kBackfillMargin <= starts_in;
}

bool CapacityHold::Restrains(const PendingStep& pending) const {
  const bool is_served_first =
      yields_to_idle_jobs && !pending.job_has_runs && pending.waited >= kMaxWaitBesideRoom;
  return !pending.is_guaranteed && pending.priority >= priority && !is_served_first &&
         (pending.job != job || pending.step != step);
}

Resources Least(const Resources& left, const Resources& right) {
  return Resources{std::min(left.cpu_milli, right.cpu_milli),
                   std::min(left.memory_mb, right.memory_mb),
                   std::min(left.accelerators, right.accelerators)};
}

PlanCapacity::PlanCapacity(const PlanSnapshot& snapshot) {
  m_minions.reserve(snapshot.minions.size());
  for (const PlanMinion& minion : snapshot.minions) {
    const std::size_t index = m_minions.size();
    m_index_by_minion.emplace_hint(m_index_by_minion.end(), minion.id, index);
    m_racks[minion.rack].push_back(index);
    m_everywhere.push_back(index);
    MinionCapacity& capacity = m_minions.emplace_back();
    capacity.minion = &minion;
    capacity.free = minion.free;
    capacity.free_without_reservations = minion.free;
    capacity.free_after_stops = minion.free + minion.being_freed;
    capacity.free_after_reclaim = capacity.free_after_stops;
    capacity.is_idle = minion.is_idle;
    m_free_accelerators += FreeAcceleratorsOf(capacity);
    if (minion.is_fast) {
      m_services_with_fast_minions.insert(minion.service);
    }
    ServiceLoad& load = m_loads[minion.service];
    load.capacity += WeightedCores(minion.capacity);
    load.used += WeightedCores(minion.capacity - minion.free);
  }
  m_minions_of_victims.reserve(snapshot.victims.size());
  for (std::size_t number = 0; number < snapshot.victims.size(); ++number) {
    const PlanVictim& victim = snapshot.victims[number];
    std::vector<std::size_t>& indexes = m_minions_of_victims.emplace_back();
    for (const PlannedPlacement& placement : victim.placements) {
      const auto found = m_index_by_minion.find(placement.minion);
      if (found == m_index_by_minion.end()) {
        continue;
      }
      indexes.push_back(found->second);
      MinionCapacity& capacity = m_minions[found->second];
      if (capacity.victims.empty() || capacity.victims.back() != number) {
        capacity.victims.push_back(number);
      }
      if (!victim.is_borrower) {
        capacity.free_after_reclaim += victim.needs_per_task;
      }
    }
  }
}

double PlanCapacity::WeightedCapacityOf(const ServiceId& service) const {
  const auto load = m_loads.find(service);
  return load == m_loads.end() ? 0 : load->second.capacity;
}

bool PlanCapacity::HasSpareCapacity(const ServiceId& service) const {
  const auto load = m_loads.find(service);
  return load != m_loads.end() && load->second.used * 2 < load->second.capacity;
}

const std::vector<std::size_t>& PlanCapacity::OnRack(const RackId& rack) const {
  static const std::vector<std::size_t> kNone;
  const auto found = m_racks.find(rack);
  return found == m_racks.end() ? kNone : found->second;
}

MinionCapacity* PlanCapacity::Find(const MinionId& id) {
  const auto found = m_index_by_minion.find(id);
  return found == m_index_by_minion.end() ? nullptr : &m_minions[found->second];
}

void PlanCapacity::Take(MinionCapacity& capacity, const Resources& needs) {
  capacity.free -= needs;
  capacity.free_without_reservations -= needs;
  capacity.free_after_stops -= needs;
  capacity.free_after_reclaim -= needs;
  capacity.is_idle = false;
}

void PlanCapacity::Allocate(const MinionId& id, const Resources& needs, Milliseconds estimate) {
  MinionCapacity& capacity = *Find(id);
  m_free_accelerators -= FreeAcceleratorsOf(capacity);
  Take(capacity, needs);
  m_free_accelerators += FreeAcceleratorsOf(capacity);
  capacity.started.push_back(PlanRun{needs, estimate});
  if (capacity.hold.has_value() && !capacity.hold->EndsBefore(estimate)) {
    capacity.hold->spare -= needs;
  }
}

void PlanCapacity::Occupy(const MinionId& id) {
  MinionCapacity& capacity = *Find(id);
  m_free_accelerators -= FreeAcceleratorsOf(capacity);
  Take(capacity, Resources(capacity.free));
}

void PlanCapacity::Hold(std::size_t minion, const CapacityHold& hold) {
  m_minions[minion].hold = hold;
  m_has_reservations = true;
}

void PlanCapacity::ReleaseHolds(const PendingStep& pending) {
  for (MinionCapacity& minion : m_minions) {
    if (minion.hold.has_value() && minion.hold->job == pending.job &&
        minion.hold->step == pending.step) {
      minion.hold.reset();
    }
  }
}

void PlanCapacity::ReserveMinion(const MinionId& id) {
  const Resources unreserved = Find(id)->free_without_reservations;
  Occupy(id);
  Find(id)->free_without_reservations = unreserved;
  m_has_reservations = true;
}

void PlanCapacity::Reserve(const MinionId& id, const Resources& needs) {
  m_has_reservations = true;
  MinionCapacity& capacity = *Find(id);
  capacity.free_after_stops -= needs;
  capacity.free_after_reclaim -= needs;
  capacity.is_idle = false;
  m_free_accelerators -= FreeAcceleratorsOf(capacity);
  capacity.free = Least(capacity.free, capacity.free_after_stops);
  m_free_accelerators += FreeAcceleratorsOf(capacity);
}

void PlanCapacity::AddBeingFreed(const MinionId& id, const Resources& freed) {
  if (MinionCapacity* const capacity = Find(id); capacity != nullptr) {
    capacity->free_after_stops += freed;
  }
}

}  // namespace papayalift
