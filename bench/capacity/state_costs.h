/// Memory of a node's copy of the fleet state, and CPU time of a scheduling pass over it.
#pragma once

#include "capacity/target_size.h"

namespace papayalift {

struct StateCosts {
  double job_record_bytes = 0;
  double placement_record_bytes = 0;
  double placement_bytes_per_task = 0;
  double bundle_bytes = 0;
  double heap_per_ended_job = 0;
  /// Job and placement records of a gang of four tasks.
  double heap_per_gang = 0;
  double heap_of_bundle = 0;
  double heap_at_target = 0;
  double bundle_parse_us = 0;
  /// Applying one change and rebuilding the view, at target size.
  double change_us = 0;
  double pass_us_idle = 0;
  /// Additional time for each waiting job that does not fit.
  double pass_us_per_waiting = 0;
};

StateCosts MeasureStateCosts(const TargetSize& size);

}  // namespace papayalift
