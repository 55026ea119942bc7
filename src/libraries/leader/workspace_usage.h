/// Which jobs are within what their workspace is guaranteed.
#pragma once

#include <map>

#include "libraries/leader/leader_state.h"
#include "libraries/work/fleet_manifest.h"

namespace papayalift {

class WorkspaceUsage {
 public:
  WorkspaceUsage(const LeaderState& state, const FleetManifest& manifest);

  /// Whether all unended jobs of guaranteed priority of the job's workspace fit its guarantee
  /// together; then each of them may stop others.
  bool IsGuaranteed(const AcceptedJob& job) const;

 private:
  std::map<WorkspaceId, std::int64_t> m_requested_accelerators;
  const FleetManifest& m_manifest;
};

}  // namespace papayalift
