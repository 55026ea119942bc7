/// Determines which jobs are within the guarantee of their workspace.
#pragma once

#include <map>

#include "libraries/leader/leader_state.h"
#include "libraries/work/fleet_manifest.h"

namespace papayalift {

class WorkspaceUsage {
 public:
  WorkspaceUsage(const LeaderState& state, const FleetManifest& manifest);

  /// Whether the job has guaranteed priority and all such jobs of its workspace that have not ended
  /// fit the guarantee together. Such a job may stop others.
  bool IsGuaranteed(const AcceptedJob& job) const;

 private:
  std::map<WorkspaceId, std::int64_t> m_requested_accelerators;
  const FleetManifest& m_manifest;
};

}  // namespace papayalift
