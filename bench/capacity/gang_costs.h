/// Cost of one job from submission to completion.
#pragma once

namespace papayalift {

struct GangCosts {
  double store_writes = 0;
  double store_reads = 0;
  double store_writes_bytes = 0;
  /// Number of events sent on the watch of every node.
  double watch_events = 0;
  /// CPU time in microseconds of the run of one gang of four tasks: its submission and the steps of
  /// its sessions.
  double steps_us = 0;
};

GangCosts MeasureGangCosts();

}  // namespace papayalift
