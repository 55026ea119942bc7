/// Formats the fleet summary as gauges.
#pragma once

#include <string>

#include "libraries/node/fleet_summary.h"
#include "libraries/node/fleet_view.h"

namespace papayalift {

/// One "name value" pair per line, as in Metrics::Text().
std::string SummaryMetrics(const FleetView& view);

}  // namespace papayalift
