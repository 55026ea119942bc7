/// Where the held time of accelerators went.
#pragma once

namespace papayalift {

/// All in accelerator-hours. `held` is the sum of the other four but for `repeated`, which is the
/// part of `useful` and `lost` that an earlier attempt had done before.
struct WorkTally {
  double held = 0.0;
  /// Progress that was kept.
  double useful = 0.0;
  /// Progress that no checkpoint kept.
  double lost = 0.0;
  /// Progress of jobs that were cancelled.
  double cancelled = 0.0;
  /// Starting, stopping, failing and waiting to be reported.
  double overhead = 0.0;
  double repeated = 0.0;
};

}  // namespace papayalift
