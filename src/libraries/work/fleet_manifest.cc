#include "libraries/work/fleet_manifest.h"

#include <algorithm>

namespace papayalift {

bool ManifestWorkspace::CanEverRun(const StepSpec& step) const {
  const std::int64_t together = step.kind == WorkStepKind::kGang ? step.count : 1;
  return (step.needs * together).Fits(QuotaLeft(quota, Resources{}));
}

const QueueSpec* FleetManifest::FindQueue(const QueueId& id) const {
  const auto found = std::find_if(queues.begin(), queues.end(),
                                  [&id](const QueueSpec& queue) { return queue.id == id; });
  return found == queues.end() ? nullptr : &*found;
}

const QueueSpec* FleetManifest::FindQueueByPath(const std::string& host,
                                                const std::string& path) const {
  const QueueSpec* best = nullptr;
  for (const QueueSpec& queue : queues) {
    if (queue.host == host && path.starts_with(queue.path_prefix) &&
        (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const ManifestWorkspace* FleetManifest::FindWorkspace(const WorkspaceId& id) const {
  const auto found =
      std::find_if(workspaces.begin(), workspaces.end(),
                   [&id](const ManifestWorkspace& workspace) { return workspace.id == id; });
  return found == workspaces.end() ? nullptr : &*found;
}

const ManifestWorkspace* FleetManifest::FindWorkspaceByKey(const std::string& key) const {
  const auto found = std::find_if(
      workspaces.begin(), workspaces.end(),
      [&key](const ManifestWorkspace& workspace) { return workspace.keys.contains(key); });
  return found == workspaces.end() ? nullptr : &*found;
}

}  // namespace papayalift
