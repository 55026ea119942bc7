/// Determines which jobs are within the guarantee of their workspace.
#pragma once

#include <set>

#include "libraries/leader/leader_state.h"
#include "libraries/work/fleet_manifest.h"

namespace papayalift {

class WorkspaceUsage {
 public:
  WorkspaceUsage(const LeaderState& state, const FleetManifest& manifest);

  /// Whether the job has guaranteed priority, has not ended, and fits the guarantee of its
  /// workspace together with all such jobs that this process has known for longer. Such a job may
  /// stop others.
  bool IsGuaranteed(const AcceptedJob& job) const { return m_guaranteed.contains(job.id); }

 private:
  std::set<JobId> m_guaranteed;
};

}  // namespace papayalift
