#include "libraries/leader/workspace_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace papayalift {

namespace {

struct ResourceGauge {
  const char* name;
  std::int64_t Resources::*member;
};
constexpr ResourceGauge kGauges[] = {{"cpu_milli", &Resources::cpu_milli},
                                     {"memory_mb", &Resources::memory_mb},
                                     {"accelerators", &Resources::accelerators}};

}  // namespace

std::vector<PlanWorkspace> MeasureWorkspaceLoads(const LeaderState& state,
                                                 const FleetManifest& manifest) {
  std::vector<PlanWorkspace> workspaces;
  std::map<WorkspaceId, std::size_t> indexes;
  for (const ManifestWorkspace& workspace : manifest.workspaces) {
    if (workspace.has_quota() || workspace.weight > 0) {
      indexes.emplace(workspace.id, workspaces.size());
      workspaces.push_back(
          PlanWorkspace{workspace.id, workspace.quota, Resources{}, Resources{}, workspace.weight});
    }
  }
  if (workspaces.empty()) {
    return workspaces;
  }
  for (const auto& [id, minion] : state.minions) {
    for (const auto& [task, run] : minion.runs) {
      const auto index = indexes.find(run.workspace);
      if (index == indexes.end()) {
        continue;
      }
      workspaces[index->second].running += run.needs;
      if (run.stop_wanted) {
        workspaces[index->second].being_freed += run.needs;
      }
    }
  }
  return workspaces;
}

void ExportWorkspaceLoads(const std::vector<PlanWorkspace>& workspaces, Metrics& metrics) {
  for (const PlanWorkspace& workspace : workspaces) {
    if (workspace.quota == Resources{}) {
      continue;
    }
    for (const ResourceGauge& gauge : kGauges) {
      metrics.SetGauge(fmt::format("papayalift_workspace_{}_running{{workspace=\"{}\"}}",
                                   gauge.name, workspace.id.text()),
                       static_cast<double>(workspace.running.*gauge.member));
      metrics.SetGauge(fmt::format("papayalift_workspace_{}_quota{{workspace=\"{}\"}}", gauge.name,
                                   workspace.id.text()),
                       static_cast<double>(workspace.quota.*gauge.member));
    }
  }
}

}  // namespace papayalift
