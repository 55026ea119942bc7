/// Checks the promises against the observations of a run. Pure functions.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/fleet_lab/observations.h"
#include "libraries/fleet_lab/promise.h"

namespace papayalift {

/// Time bounds of the promises.
struct PromiseLimits {
  /// Starts in a zone are allowed for this long after the zone was taken out.
  Milliseconds zone_out{3'000};
  /// Starts on a target are allowed for this long after it began to leave.
  Milliseconds leaving{3'000};
  Milliseconds bundle_in_force{9'000};
  /// A gang may be partial only until the run lease of an unreachable worker has expired.
  Milliseconds partial_gang{18'000};
  Milliseconds reclaim{30'000};
};

/// Zone of each worker and minion, by name.
using ZoneOfTarget = std::map<std::string, ZoneId>;

/// Returns one tally for each promise, in the order of kPromises.
std::vector<PromiseTally> CheckPromises(const Observations& seen, const ZoneOfTarget& zones,
                                        const PromiseLimits& limits);

}  // namespace papayalift
