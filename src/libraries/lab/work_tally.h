/// Breakdown of the accelerator-hours that attempts held.
#pragma once

namespace papayalift {

/// All in accelerator-hours. `held` is the sum of `useful`, `lost`, `cancelled` and `overhead`.
/// `repeated` is the part of the progress that an earlier attempt had already made.
struct WorkTally {
  double held = 0.0;
  /// Progress kept by jobs that were not cancelled.
  double useful = 0.0;
  /// Progress not saved by a checkpoint.
  double lost = 0.0;
  /// Progress kept by jobs that were cancelled.
  double cancelled = 0.0;
  /// Held time of starting, stopping, failed attempts and the report lag.
  double overhead = 0.0;
  double repeated = 0.0;
};

}  // namespace papayalift
