#include "libraries/planner/workspace_quotas.h"

#include "libraries/planner/plan_capacity.h"

namespace papayalift {

namespace {

/// A gang that has waited for less usually still gets quota without any being kept for it.
constexpr Milliseconds kMinGangWait{2'000};

std::int64_t WaitingTasks(const PendingStep& pending) {
  return static_cast<std::int64_t>(pending.task_indexes.size());
}

Resources NeedsOfAll(const PendingStep& pending) {
  return pending.spec.needs * WaitingTasks(pending);
}

/// Whether `used` is at most half of the quota in each dimension that has one.
bool IsUnderHalf(const Resources& used, const Resources& quota) {
  return (used * 2).Fits(QuotaLeft(quota, Resources{}));
}

}  // namespace

WorkspaceQuotas::WorkspaceQuotas(const PlanSnapshot& snapshot) {
  for (const PlanWorkspace& workspace : snapshot.workspaces) {
    if (workspace.quota != Resources{}) {
      m_usages.emplace(workspace.id,
                       Usage{workspace.quota, workspace.running, workspace.being_freed, nullptr,
                             IsUnderHalf(workspace.running, workspace.quota)});
    }
  }
  for (const PendingStep& pending : snapshot.pending_steps) {
    const auto usage = m_usages.find(pending.workspace);
    if (usage == m_usages.end() || !MayReserve(pending)) {
      continue;
    }
    const PendingStep*& gang = usage->second.gang;
    if (gang == nullptr || pending.waited > gang->waited) {
      gang = &pending;
    }
  }
}

bool WorkspaceQuotas::MayReserve(const PendingStep& pending) {
  return pending.spec.kind == WorkStepKind::kGang && pending.waited >= kMinGangWait &&
         !pending.is_guaranteed;
}

bool WorkspaceQuotas::IsRestrained(const PendingStep& pending, const Usage& usage) {
  const bool is_served_first =
      usage.has_spare_quota && !pending.job_has_runs && pending.waited >= kMaxWaitBesideRoom;
  return usage.gang != nullptr && !pending.is_guaranteed &&
         pending.priority >= usage.gang->priority && !is_served_first &&
         (pending.job != usage.gang->job || pending.step != usage.gang->step);
}

std::int64_t WorkspaceQuotas::Allowed(const PendingStep& pending, const Usage& usage,
                                      const Resources& running) {
  const std::int64_t waiting = WaitingTasks(pending);
  const Resources kept = IsRestrained(pending, usage) ? NeedsOfAll(*usage.gang) : Resources{};
  const std::int64_t allowed =
      pending.spec.needs.MaxCountIn(QuotaLeft(usage.quota, running + kept), waiting);
  const bool is_partial_gang = pending.spec.kind == WorkStepKind::kGang && allowed < waiting;
  return is_partial_gang ? 0 : allowed;
}

std::int64_t WorkspaceQuotas::TasksAllowed(const PendingStep& pending) const {
  const auto usage = m_usages.find(pending.workspace);
  return usage == m_usages.end() ? WaitingTasks(pending)
                                 : Allowed(pending, usage->second, usage->second.running);
}

std::int64_t WorkspaceQuotas::TasksAllowedAfterStops(const PendingStep& pending) const {
  const auto usage = m_usages.find(pending.workspace);
  return usage == m_usages.end()
             ? WaitingTasks(pending)
             : Allowed(pending, usage->second, usage->second.running - usage->second.being_freed);
}

void WorkspaceQuotas::Add(const PendingStep& pending, std::int64_t tasks) {
  if (const auto usage = m_usages.find(pending.workspace); usage != m_usages.end()) {
    usage->second.running += pending.spec.needs * tasks;
    if (usage->second.gang != nullptr && usage->second.gang->job == pending.job &&
        usage->second.gang->step == pending.step) {
      usage->second.gang = nullptr;
    }
  }
}

void WorkspaceQuotas::AddBeingFreed(const WorkspaceId& workspace, const Resources& freed) {
  if (const auto usage = m_usages.find(workspace); usage != m_usages.end()) {
    usage->second.being_freed += freed;
  }
}

}  // namespace papayalift
