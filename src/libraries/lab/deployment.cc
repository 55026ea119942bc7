#include "libraries/lab/deployment.h"

#include <fmt/format.h>

#include <map>

namespace papayalift {

std::vector<ZoneId> ZonesOf(const DeploymentPlan& plan) {
  std::vector<ZoneId> zones;
  for (int zone = 0; zone < plan.zones; ++zone) {
    const int region = zone * plan.regions / plan.zones;
    zones.push_back(ZoneId(fmt::format("region-{}-zone-{}", region + 1, zone + 1)));
  }
  return zones;
}

namespace {

/// Assigns the workers of all groups to the zones round-robin and fills the racks of each zone in
/// order.
std::vector<WorkerSpec> WorkersOf(const DeploymentPlan& plan, const std::vector<ZoneId>& zones) {
  std::vector<WorkerSpec> workers;
  std::map<ZoneId, int> in_zone;
  for (const WorkerGroup& group : plan.workers) {
    for (int index = 0; index < group.count; ++index) {
      const ZoneId& zone = zones[workers.size() % zones.size()];
      const int position = in_zone[zone]++;
      WorkerSpec worker;
      worker.id = WorkerId(fmt::format("{}-worker-{:03}", zone.text(), position + 1));
      worker.zone = zone;
      worker.rack =
          RackId(fmt::format("{}-rack-{:02}", zone.text(), position / plan.workers_per_rack + 1));
      worker.accelerators = group.accelerators;
      workers.push_back(worker);
    }
  }
  return workers;
}

}  // namespace

Bundle BundleOf(const Scenario& scenario) {
  Bundle bundle;
  const std::vector<ZoneId> zones = ZonesOf(scenario.deployment);
  for (const ZoneId& zone : zones) {
    bundle.zones.push_back(ZoneSpec{zone});
  }
  for (const WorkspacePlan& plan : scenario.workspaces) {
    bundle.workspaces.push_back(plan.spec);
  }
  bundle.workers = WorkersOf(scenario.deployment, zones);
  return bundle;
}

}  // namespace papayalift
