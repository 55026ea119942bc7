#include "libraries/leader/workspace_usage.h"

#include <algorithm>

namespace papayalift {

namespace {

/// Accelerators needed by the largest step of the job.
std::int64_t MaxAcceleratorsOf(const AcceptedJob& job) {
  std::int64_t max_accelerators = 0;
  for (const StepSpec& step : job.work.steps) {
    max_accelerators = std::max(max_accelerators, step.needs.accelerators * step.count);
  }
  return max_accelerators;
}

}  // namespace

WorkspaceUsage::WorkspaceUsage(const LeaderState& state, const FleetManifest& manifest)
    : m_manifest(manifest) {
  for (const auto& [id, job] : state.jobs) {
    if (job.accepted.priority == kGuaranteedPriority && !HasEnded(job.progress.state) &&
        !job.is_cancelled) {
      m_requested_accelerators[job.accepted.workspace] += MaxAcceleratorsOf(job.accepted);
    }
  }
}

bool WorkspaceUsage::IsGuaranteed(const AcceptedJob& job) const {
  if (job.priority != kGuaranteedPriority) {
    return false;
  }
  const ManifestWorkspace* const workspace = m_manifest.FindWorkspace(job.workspace);
  const auto requested = m_requested_accelerators.find(job.workspace);
  return workspace != nullptr && requested != m_requested_accelerators.end() &&
         requested->second <= workspace->guaranteed.value();
}

}  // namespace papayalift
