/// Integrates over the virtual clock: utilisation, fragmentation, and what the capacity in service
/// would have allowed during zone changes.
#pragma once

#include "libraries/lab/lab_state.h"
#include "libraries/lab/time_windows.h"

namespace papayalift {

class CapacityMeter {
 public:
  CapacityMeter(const Scenario& scenario, const TimeWindows& zone_changes);

  /// Integrates what was remembered last, up to now.
  void Advance(const LabState& state);
  /// Remembers the state that holds from now on.
  void RecordState(const LabState& state);

  /// Share of the capacity in service that was held while jobs arrived.
  double utilisation() const;
  /// Share of the free accelerators that the largest declared shape could not use, averaged over
  /// the time in which any was free while jobs arrived.
  double fragmentation() const;
  /// What of that the number of free accelerators alone explains, wherever they are.
  double fragmentation_floor() const;
  /// Integral over the zone changes of the lesser of demand, within quotas, and capacity in
  /// service.
  double allowed_hours() const { return m_allowed_hours; }
  const Shape& largest_shape() const { return m_largest; }

 private:
  const TimeWindows& m_zone_changes;
  Milliseconds m_length;
  Shape m_largest;
  Milliseconds m_since{0};
  AcceleratorCount m_capacity;
  AcceleratorCount m_free;
  AcceleratorCount m_allowed;
  double m_fragmentation = 0.0;
  double m_fragmentation_floor = 0.0;
  double m_held_hours = 0.0;
  double m_capacity_hours = 0.0;
  /// In seconds.
  double m_fragmented_time = 0.0;
  double m_fragmentation_floor_time = 0.0;
  double m_time_with_free_capacity = 0.0;
  double m_allowed_hours = 0.0;
};

}  // namespace papayalift
