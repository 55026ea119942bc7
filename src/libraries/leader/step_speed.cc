#include "libraries/leader/step_speed.h"

#include <algorithm>

namespace papayalift {

namespace {

/// The work of the tasks of one step differs by up to 30 %, and the longest of them ends the step.
constexpr double kLongestTask = 1.25;
/// The write of the placement and the call to the minion. The usual time, shorter than the longest
/// that kStartTime of delay_cost.h allows for.
constexpr Milliseconds kPlacementDelay{100};
/// Half of the fast minions are slower than the median of the fastest third.
constexpr double kFastTolerance = 0.85;
/// With up to this much more than the fastest third offers, a job may still be on time if its tasks
/// are alike.
constexpr double kMaxSpeedExcess = 1.2;

}  // namespace

double MinSpeedFor(Milliseconds remaining_path, Milliseconds time_left, const SpeedSpread& spread) {
  const Milliseconds run_time = time_left - kPlacementDelay;
  if (!spread.is_uneven || run_time <= Milliseconds(0)) {
    return 0;
  }
  const double needed = kLongestTask * static_cast<double>(remaining_path.count()) /
                        static_cast<double>(run_time.count());
  if (needed <= spread.slowest_third || needed > kMaxSpeedExcess * spread.fastest_third) {
    return 0;
  }
  return std::min(needed, kFastTolerance * spread.fastest_third);
}

}  // namespace papayalift
