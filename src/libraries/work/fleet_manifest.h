/// The operators' declaration of queues, services and workspaces in force.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

using QueueId = StrongId<struct QueueIdTag>;

/// Rises with every manifest.
using ManifestVersion = StrongNumber<struct ManifestVersionTag>;

/// 0 comes first, and may stop others for what its workspace is guaranteed.
using Priority = StrongNumber<struct PriorityTag, int>;
constexpr Priority kGuaranteedPriority{0};

struct QueueSpec {
  QueueId id;
  std::string host;
  std::string path_prefix;
  ServiceId service;
  Priority priority;
  int max_attempts = 1;
  /// A job is on time within this many times its longest chain of work, and `latency_target` more.
  double slack_factor = 1;
  Milliseconds latency_target{0};
  bool needs_key = true;
  /// Only an outside service knows which workers may run its steps.
  bool requires_external_placement = false;
};

struct ManifestWorkspace {
  WorkspaceId id;
  std::set<std::string> keys;
  AcceleratorCount guaranteed;
};

struct FleetManifest {
  ManifestVersion version;
  std::vector<QueueSpec> queues;
  std::vector<ManifestWorkspace> workspaces;

  const QueueSpec* FindQueue(const QueueId& id) const;
  /// The queue with the host and the longest prefix that `path` begins with.
  const QueueSpec* FindQueueByPath(const std::string& host, const std::string& path) const;
  const ManifestWorkspace* FindWorkspace(const WorkspaceId& id) const;
  const ManifestWorkspace* FindWorkspaceByKey(const std::string& key) const;
};

}  // namespace papayalift
