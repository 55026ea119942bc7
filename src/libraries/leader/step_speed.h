/// The speed of minions that a step needs for its job to be on time.
#pragma once

#include "libraries/base/units.h"
#include "libraries/leader/host_speeds.h"

namespace papayalift {

/// `remaining_path` is the estimated time that the step and all after it take on a usual minion,
/// `time_left` the time until the job is late. Returns the least speed, relative to a usual minion,
/// with which the job can be on time; 0 if the slowest minions are fast enough, if not even the
/// fastest are, or if speed does not matter in the service.
double MinSpeedFor(Milliseconds remaining_path, Milliseconds time_left, const SpeedSpread& spread);

}  // namespace papayalift
