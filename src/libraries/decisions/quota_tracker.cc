#include "libraries/decisions/quota_tracker.h"

#include <fmt/format.h>

#include <algorithm>

namespace papayalift {

namespace {

AcceleratorCount LimitOf(const WorkspaceSpec& workspace, BorrowRule rule) {
  if (rule == BorrowRule::kUpToQuota) {
    return workspace.quota;
  }
  AcceleratorCount guaranteed;
  for (const Guarantee& guarantee : workspace.guarantees) {
    guaranteed += AcceleratorCount(guarantee.count * guarantee.shape.Total().value());
  }
  return std::min(guaranteed, workspace.quota);
}

}  // namespace

QuotaTracker::QuotaTracker(const Snapshot& snapshot, BorrowRule rule) {
  for (const WorkspaceSpec& workspace : snapshot.workspaces) {
    m_usage[workspace.id].limit = LimitOf(workspace, rule);
  }
  for (const GangView& gang : snapshot.gangs) {
    const auto usage = m_usage.find(gang.workspace);
    if (usage != m_usage.end()) {
      usage->second.used += gang.shape.Total();
    }
  }
}

std::optional<WaitDecision> QuotaTracker::CheckQuota(const WaitingJob& job) const {
  const auto usage = m_usage.find(job.workspace);
  if (usage == m_usage.end()) {
    return WaitDecision{job.job, WaitCause::kInfeasible,
                        "the bundle in force does not declare its workspace"};
  }
  if (ExcessWith(job) == AcceleratorCount(0)) {
    return std::nullopt;
  }
  return WaitDecision{
      job.job, WaitCause::kQuota,
      fmt::format("workspace '{}' holds {} of its {} accelerators", job.workspace.text(),
                  usage->second.used.value(), usage->second.limit.value())};
}

AcceleratorCount QuotaTracker::ExcessWith(const WaitingJob& job) const {
  const Usage& usage = m_usage.at(job.workspace);
  return std::max(AcceleratorCount(0), usage.used + job.shape.Total() - usage.limit);
}

void QuotaTracker::Charge(const WaitingJob& job) {
  m_usage[job.workspace].used += job.shape.Total();
}

}  // namespace papayalift
