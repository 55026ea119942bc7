/// Time-weighted utilisation, fragmentation and capacity available during zone changes, integrated
/// over the virtual clock.
#pragma once

#include "libraries/lab/lab_state.h"
#include "libraries/lab/time_windows.h"

namespace papayalift {

class CapacityMeter {
 public:
  CapacityMeter(const Scenario& scenario, const TimeWindows& zone_changes);

  /// Integrates the last recorded state up to the current time.
  void Advance(const LabState& state);
  /// Records the state that applies from the current time on.
  void RecordState(const LabState& state);

  /// Fraction of the capacity in service that was held during the arrival period.
  double utilisation() const;
  /// Fraction of the free accelerators that the largest declared shape could not use, averaged over
  /// the part of the arrival period in which any accelerator was free.
  double fragmentation() const;
  /// Fragmentation that would remain if all free accelerators were adjacent in one zone: the
  /// remainder of dividing their number by the largest shape.
  double fragmentation_floor() const;
  /// Accelerator-hours usable during zone changes: the integral of the smaller of the demand within
  /// quotas and the capacity in service.
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
  /// In seconds; the first two are weighted by the fragmentation and its floor.
  double m_fragmented_time = 0.0;
  double m_fragmentation_floor_time = 0.0;
  double m_time_with_free_capacity = 0.0;
  double m_allowed_hours = 0.0;
};

}  // namespace papayalift
