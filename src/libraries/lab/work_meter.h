/// Sums the work of attempts, over the whole run and within zone changes.
#pragma once

#include "libraries/lab/job_run.h"
#include "libraries/lab/time_windows.h"
#include "libraries/lab/work_tally.h"

namespace papayalift {

class WorkMeter {
 public:
  explicit WorkMeter(const TimeWindows& zone_changes) : m_zone_changes(zone_changes) {}

  /// Adds all attempts of one job. Call once per job, after it or the run has ended.
  void Add(const JobRun& run, AcceleratorCount size);

  const WorkTally& total() const { return m_total; }
  const WorkTally& in_zone_changes() const { return m_in_zone_changes; }

 private:
  const TimeWindows& m_zone_changes;
  WorkTally m_total;
  WorkTally m_in_zone_changes;
};

}  // namespace papayalift
