/// What one job costs from its submission to its end.
#pragma once

namespace papayalift {

struct GangCosts {
  double store_writes = 0;
  double store_reads = 0;
  double store_writes_bytes = 0;
  /// Changes that every node's watch carries.
  double watch_events = 0;
  /// Processor time of the sessions' steps, in microseconds, for a gang of four.
  double steps_us = 0;
};

GangCosts MeasureGangCosts();

}  // namespace papayalift
