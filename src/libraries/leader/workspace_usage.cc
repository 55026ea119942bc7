#include "libraries/leader/workspace_usage.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

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

WorkspaceUsage::WorkspaceUsage(const LeaderState& state, const FleetManifest& manifest) {
  std::vector<const TrackedJob*> claims;
  for (const auto& [id, job] : state.jobs) {
    if (job.accepted.priority == kGuaranteedPriority && !job.accepted.id.empty() &&
        !HasEnded(job.progress.state) && !job.is_cancelled) {
      claims.push_back(&job);
    }
  }
  std::sort(claims.begin(), claims.end(), [](const TrackedJob* left, const TrackedJob* right) {
    return std::pair(left->known_since, left->accepted.id) <
           std::pair(right->known_since, right->accepted.id);
  });
  std::map<WorkspaceId, std::int64_t> claimed_accelerators;
  for (const TrackedJob* const job : claims) {
    const ManifestWorkspace* const workspace = manifest.FindWorkspace(job->accepted.workspace);
    std::int64_t& claimed = claimed_accelerators[job->accepted.workspace];
    claimed += MaxAcceleratorsOf(job->accepted);
    if (workspace != nullptr && claimed <= workspace->guaranteed.value()) {
      m_guaranteed.insert(job->accepted.id);
    }
  }
}

}  // namespace papayalift
