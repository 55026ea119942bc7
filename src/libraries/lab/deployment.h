/// The bundle of a scenario: zones, racks, workers and workspaces, named by position.
#pragma once

#include <vector>

#include "libraries/lab/scenario.h"
#include "libraries/model/bundle.h"

namespace papayalift {

/// "region-1-zone-1" and so on, zones numbered over all regions.
std::vector<ZoneId> ZonesOf(const DeploymentPlan& plan);

Bundle BundleOf(const Scenario& scenario);

}  // namespace papayalift
