#include "libraries/node/retention.h"

#include "libraries/node/audit_removal.h"
#include "libraries/node/job_removal.h"

namespace papayalift {

namespace {

constexpr Milliseconds kSweepInterval = std::chrono::minutes(10);
/// Limits the write load while a backlog is removed.
constexpr int kMaxJobsPerSweep = 64;

}  // namespace

void Retention::Sweep(const FleetView& view, const std::function<bool(const JobId&)>& owns) {
  const Milliseconds now = m_context.clock.Now();
  if (now - m_last_sweep_at < kSweepInterval) {
    return;
  }
  m_last_sweep_at = now;
  SweepJobs(view, owns);
  if (owns(AuditRemoval::SessionId())) {
    m_runner.Add(AuditRemoval::Create(m_context, kAuditRetention));
  }
}

void Retention::SweepJobs(const FleetView& view, const std::function<bool(const JobId&)>& owns) {
  const Milliseconds wall_now = m_context.clock.WallNow();
  int removed = 0;
  for (const auto& [id, job] : view.jobs) {
    const bool expired =
        IsFinal(job->value.state) && wall_now - job->value.finished_at >= kEndedJobRetention;
    if (!expired || !owns(id)) {
      continue;
    }
    m_runner.Add(JobRemoval::Create(m_context, id, kEndedJobRetention));
    if (++removed == kMaxJobsPerSweep) {
      return;
    }
  }
}

}  // namespace papayalift
