/// The fleet's summary as gauges.
#pragma once

#include <string>

#include "libraries/node/fleet_summary.h"
#include "libraries/node/fleet_view.h"

namespace papayalift {

/// One "name value" a line, as Metrics::Text() writes them.
std::string SummaryMetrics(const FleetView& view);

}  // namespace papayalift
