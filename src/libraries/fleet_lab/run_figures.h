/// Performance figures of one run.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "libraries/fleet_lab/observations.h"

namespace papayalift {

struct WorkFigures {
  Milliseconds lasted{0};
  std::int64_t jobs_ended = 0;
  std::int64_t calls_run = 0;
  /// Sum of the running times of all tasks.
  Milliseconds task_time{0};
};

struct RunFigures {
  double calls_per_second = 0;
  Milliseconds call_p50{0};
  Milliseconds call_p99{0};
  std::map<std::string, std::int64_t> calls_by_verdict;
  /// Time from submission to start, according to the job records.
  Milliseconds start_p50{0};
  Milliseconds start_p99{0};
  std::map<std::string, std::int64_t> jobs_by_state;
  std::int64_t jobs_refused = 0;
  WorkFigures all;
  WorkFigures store_away;
  WorkFigures zone_out;
  /// The longest time from the kill of an entry node to the next renewal of a running gang; 0 if
  /// none was killed.
  Milliseconds takeover{0};
  Milliseconds longest_renewal_gap{0};
  Milliseconds longest_partial_gang{0};
};

/// `wall_offset` is the wall clock minus the boot clock.
RunFigures FiguresOf(const Observations& seen, Milliseconds lasted, Milliseconds wall_offset);

}  // namespace papayalift
