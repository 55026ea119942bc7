/// Checks of the promises over what a run saw; pure functions.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/fleet_lab/observations.h"
#include "libraries/fleet_lab/promise.h"

namespace papayalift {

/// The bounds that the promises name.
struct PromiseLimits {
  /// No start in a zone later than this after the zone was taken out.
  Milliseconds zone_out{3'000};
  /// No start on a target later than this after it began to leave.
  Milliseconds leaving{3'000};
  Milliseconds bundle_in_force{9'000};
  /// A gang may be partial only until the run lease of a worker that nobody reaches has lapsed.
  Milliseconds partial_gang{18'000};
  Milliseconds reclaim{30'000};
};

/// In which zone each worker and minion stands, by name.
using ZoneOfTarget = std::map<std::string, ZoneId>;

/// One tally for each promise, in the order of kPromises.
std::vector<PromiseTally> CheckPromises(const Observations& seen, const ZoneOfTarget& zones,
                                        const PromiseLimits& limits);

}  // namespace papayalift
