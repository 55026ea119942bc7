/// Builds the bundle of a scenario; zones, racks and workers are named by their position.
#pragma once

#include <vector>

#include "libraries/lab/scenario.h"
#include "libraries/model/bundle.h"

namespace papayalift {

/// Names are "region-1-zone-1" and so on; zone numbers are unique across regions.
std::vector<ZoneId> ZonesOf(const DeploymentPlan& plan);

Bundle BundleOf(const Scenario& scenario);

}  // namespace papayalift
