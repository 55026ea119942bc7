#include "libraries/decisions/quota_book.h"

#include <fmt/format.h>

#include <algorithm>

namespace papayalift {

namespace {

AcceleratorCount MostOf(const WorkspaceSpec& workspace, BorrowRule rule) {
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

QuotaBook::QuotaBook(const Snapshot& snapshot, BorrowRule rule) {
  for (const WorkspaceSpec& workspace : snapshot.workspaces) {
    m_shares[workspace.id].most = MostOf(workspace, rule);
  }
  for (const GangView& gang : snapshot.gangs) {
    const auto share = m_shares.find(gang.workspace);
    if (share != m_shares.end()) {
      share->second.used += gang.shape.Total();
    }
  }
}

std::optional<WaitDecision> QuotaBook::WhyNot(const WaitingJob& job) const {
  const auto share = m_shares.find(job.workspace);
  if (share == m_shares.end()) {
    return WaitDecision{job.job, WaitCause::kNeverFits,
                        "the bundle in force does not declare its workspace"};
  }
  if (share->second.used + job.shape.Total() <= share->second.most) {
    return std::nullopt;
  }
  return WaitDecision{
      job.job, WaitCause::kQuota,
      fmt::format("workspace '{}' holds {} of its {} accelerators", job.workspace.text(),
                  share->second.used.value(), share->second.most.value())};
}

void QuotaBook::Count(const WaitingJob& job) { m_shares[job.workspace].used += job.shape.Total(); }

}  // namespace papayalift
