#include "libraries/planner/quota_stops.h"

#include <algorithm>

namespace papayalift {

namespace {

bool MayStop(const PendingStep& pending, const PlanVictim& victim) {
  return victim.workspace == pending.workspace &&
         (victim.priority > pending.priority ||
          (victim.is_borrower && pending.may_stop_borrowers && victim.job != pending.job));
}

Resources NeedsOf(const PlanVictim& victim) {
  return victim.needs_per_task * static_cast<std::int64_t>(victim.placements.size());
}

}  // namespace

std::optional<std::vector<std::size_t>> FindQuotaStops(const PendingStep& pending,
                                                       const WorkspaceQuotas& quotas,
                                                       const std::vector<PlanVictim>& victims,
                                                       const std::vector<bool>& is_stopped) {
  std::vector<std::size_t> candidates;
  for (std::size_t index = 0; index < victims.size(); ++index) {
    if (!is_stopped[index] && MayStop(pending, victims[index])) {
      candidates.push_back(index);
    }
  }
  std::sort(candidates.begin(), candidates.end(), [&victims](std::size_t left, std::size_t right) {
    return victims[left].unsaved_work < victims[right].unsaved_work;
  });
  WorkspaceQuotas after_stops = quotas;
  const std::int64_t wanted = static_cast<std::int64_t>(pending.task_indexes.size());
  std::vector<std::size_t> chosen;
  double lost_work = 0;
  auto candidate = candidates.begin();
  while (after_stops.TasksAllowedAfterStops(pending) < wanted) {
    if (candidate == candidates.end()) {
      return std::nullopt;
    }
    after_stops.AddBeingFreed(pending.workspace, NeedsOf(victims[*candidate]));
    lost_work += victims[*candidate].unsaved_work;
    chosen.push_back(*candidate++);
  }
  const bool loses_too_much = !pending.is_guaranteed && lost_work >= pending.max_lost_work;
  return loses_too_much ? std::nullopt : std::optional(std::move(chosen));
}

}  // namespace papayalift
