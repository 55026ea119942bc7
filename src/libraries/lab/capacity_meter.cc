#include "libraries/lab/capacity_meter.h"

#include <algorithm>

#include "libraries/lab/accelerator_hours.h"

namespace papayalift {

namespace {

Shape LargestShape(const Scenario& scenario) {
  Shape largest;
  for (const JobClass& job_class : scenario.classes) {
    for (const Shape& shape : job_class.shapes) {
      if (shape.Total() > largest.Total()) {
        largest = shape;
      }
    }
  }
  return largest;
}

AcceleratorCount DemandWithinQuotas(const LabState& state) {
  AcceleratorCount demand{0};
  for (std::size_t position = 0; position < state.demand.size(); ++position) {
    demand += std::min(state.demand[position], state.scenario.workspaces[position].spec.quota);
  }
  return demand;
}

double ShareUnused(AcceleratorCount usable, AcceleratorCount free) {
  return free.value() == 0 ? 0.0 : 1.0 - static_cast<double>(usable.value()) / free.value();
}

double Ratio(double part, double whole) { return whole > 0.0 ? part / whole : 0.0; }

}  // namespace

CapacityMeter::CapacityMeter(const Scenario& scenario, const TimeWindows& zone_changes)
    : m_zone_changes(zone_changes),
      m_length(scenario.timing.length),
      m_largest(LargestShape(scenario)) {}

void CapacityMeter::Advance(const LabState& state) {
  const Milliseconds counted = std::min(state.now, m_length) - std::min(m_since, m_length);
  m_held_hours += AcceleratorHours(m_capacity - m_free, counted);
  m_capacity_hours += AcceleratorHours(m_capacity, counted);
  if (m_free.value() > 0) {
    const double time = std::chrono::duration<double>(counted).count();
    m_time_with_free_capacity += time;
    m_fragmented_time += m_fragmentation * time;
    m_fragmentation_floor_time += m_fragmentation_floor * time;
  }
  m_allowed_hours += AcceleratorHours(m_allowed, m_zone_changes.Overlap(m_since, state.now));
  m_since = state.now;
}

void CapacityMeter::RecordState(const LabState& state) {
  m_capacity = state.fleet.InService(state.zones);
  m_free = state.fleet.FreeInService(state.zones);
  m_allowed = std::min(m_capacity, DemandWithinQuotas(state));
  const AcceleratorCount usable = state.fleet.UsableBy(m_largest, state.zones);
  const int shape = m_largest.Total().value();
  m_fragmentation = ShareUnused(usable, m_free);
  m_fragmentation_floor = ShareUnused(AcceleratorCount(m_free.value() / shape * shape), m_free);
}

double CapacityMeter::utilisation() const { return Ratio(m_held_hours, m_capacity_hours); }

double CapacityMeter::fragmentation() const {
  return Ratio(m_fragmented_time, m_time_with_free_capacity);
}

double CapacityMeter::fragmentation_floor() const {
  return Ratio(m_fragmentation_floor_time, m_time_with_free_capacity);
}

}  // namespace papayalift
