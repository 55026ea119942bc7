/// The configuration of queues and workspaces that operators write to the store.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/work/resources.h"
#include "libraries/work/work_spec.h"

namespace papayalift {

using QueueId = StrongId<struct QueueIdTag>;

/// Increases with every manifest.
using ManifestVersion = StrongNumber<struct ManifestVersionTag>;

/// 0 is the highest, and may stop others within the guarantee of its workspace.
using Priority = StrongNumber<struct PriorityTag, int>;
constexpr Priority kGuaranteedPriority{0};

struct QueueSpec {
  QueueId id;
  std::string host;
  std::string path_prefix;
  ServiceId service;
  Priority priority;
  int max_attempts = 1;
  /// A job is on time if it ends within its critical path times this factor, plus `latency_target`.
  double slack_factor = 1;
  Milliseconds latency_target{0};
  bool needs_key = true;
  /// An external service decides which workers may run its steps.
  bool requires_external_placement = false;
};

struct ManifestWorkspace {
  WorkspaceId id;
  std::set<std::string> keys;
  AcceleratorCount guaranteed;
  /// What its runs may use together, over all minions; 0 means no limit.
  Resources quota;
  /// Its share of a full fleet, relative to the weights of the others; 0 if none is set.
  double weight = 0;

  bool has_quota() const { return quota != Resources{}; }
  /// Whether all tasks of the step that must run together fit the quota while nothing else runs.
  bool CanEverRun(const StepSpec& step) const;
};

struct FleetManifest {
  ManifestVersion version;
  std::vector<QueueSpec> queues;
  std::vector<ManifestWorkspace> workspaces;
  /// The services that it names, those of its queues included.
  std::set<ServiceId> services;

  const QueueSpec* FindQueue(const QueueId& id) const;
  /// The queue of the host with the longest path prefix of `path`; null if there is none.
  const QueueSpec* FindQueueByPath(const std::string& host, const std::string& path) const;
  const ManifestWorkspace* FindWorkspace(const WorkspaceId& id) const;
  const ManifestWorkspace* FindWorkspaceByKey(const std::string& key) const;
};

}  // namespace papayalift
