#include "libraries/leader/workspace_use.h"

#include <algorithm>

namespace papayalift {

namespace {

/// The most accelerators that one step of the job takes.
std::int64_t AcceleratorsOf(const AcceptedJob& job) {
  std::int64_t most = 0;
  for (const StepSpec& step : job.work.steps) {
    most = std::max(most, step.needs.accelerators * step.count);
  }
  return most;
}

}  // namespace

WorkspaceUse::WorkspaceUse(const LeaderState& state, const FleetManifest& manifest)
    : m_manifest(manifest) {
  for (const auto& [id, job] : state.jobs) {
    if (job.accepted.priority == kGuaranteedPriority && !HasEnded(job.progress.state) &&
        !job.is_cancelled) {
      m_wanted[job.accepted.workspace] += AcceleratorsOf(job.accepted);
    }
  }
}

bool WorkspaceUse::IsGuaranteed(const AcceptedJob& job) const {
  if (job.priority != kGuaranteedPriority) {
    return false;
  }
  const ManifestWorkspace* const workspace = m_manifest.FindWorkspace(job.workspace);
  const auto wanted = m_wanted.find(job.workspace);
  return workspace != nullptr && wanted != m_wanted.end() &&
         wanted->second <= workspace->guaranteed.value();
}

}  // namespace papayalift
