#include "libraries/planner/workspace_shares.h"

#include <algorithm>

namespace papayalift {

namespace {

/// Part of the processors or accelerators in use from which the fleet counts as full: the rest is
/// often too scattered for gangs.
constexpr double kFullShare = 0.85;

double ShareOf(std::int64_t used, std::int64_t capacity) {
  return capacity == 0 ? 0 : static_cast<double>(used) / static_cast<double>(capacity);
}

/// The largest share of any kind of resource.
double DominantShare(const Resources& used, const Resources& capacity) {
  return std::max({ShareOf(used.cpu_milli, capacity.cpu_milli),
                   ShareOf(used.memory_mb, capacity.memory_mb),
                   ShareOf(used.accelerators, capacity.accelerators)});
}

}  // namespace

std::set<WorkspaceId> FindWorkspacesOverShare(const PlanSnapshot& snapshot) {
  double total_weight = 0;
  for (const PlanWorkspace& workspace : snapshot.workspaces) {
    total_weight += workspace.weight;
  }
  std::set<WorkspaceId> over_share;
  if (total_weight <= 0) {
    return over_share;
  }
  Resources capacity;
  Resources used;
  for (const PlanMinion& minion : snapshot.minions) {
    capacity += minion.capacity;
    used += minion.capacity - minion.free;
  }
  if (DominantShare(used, capacity) < kFullShare) {
    return over_share;
  }
  for (const PlanWorkspace& workspace : snapshot.workspaces) {
    const double fair_share = workspace.weight / total_weight;
    if (workspace.weight > 0 && DominantShare(workspace.running, capacity) > fair_share) {
      over_share.insert(workspace.id);
    }
  }
  return over_share;
}

}  // namespace papayalift
