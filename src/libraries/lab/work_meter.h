/// Sums up attempts: over the whole run, and inside of zone changes.
#pragma once

#include "libraries/lab/job_run.h"
#include "libraries/lab/time_windows.h"
#include "libraries/lab/work_tally.h"

namespace papayalift {

class WorkMeter {
 public:
  explicit WorkMeter(const TimeWindows& zone_changes) : m_zone_changes(zone_changes) {}

  /// All attempts of one job, once it has ended or the run is over.
  void Add(const JobRun& run, AcceleratorCount size);

  const WorkTally& total() const { return m_total; }
  const WorkTally& in_zone_changes() const { return m_in_zone_changes; }

 private:
  const TimeWindows& m_zone_changes;
  WorkTally m_total;
  WorkTally m_in_zone_changes;
};

}  // namespace papayalift
