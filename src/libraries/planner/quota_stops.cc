#include "libraries/planner/quota_stops.h"

#include <algorithm>

#include "libraries/planner/delay_cost.h"

namespace papayalift {

namespace {

bool MayStop(const PendingStep& pending, const PlanVictim& victim) {
  return victim.workspace == pending.workspace && !pending.may_only_await_stops &&
         (victim.priority > pending.priority ||
          (victim.is_borrower && pending.may_stop_borrowers && victim.job != pending.job));
}

/// Whether its capacity becomes free by itself while the step can wait.
bool EndsSoon(const PendingStep& pending, const PlanVictim& victim) {
  return victim.last_end.has_value() && *victim.last_end < pending.max_wait_for_ends;
}

Resources NeedsOf(const PlanVictim& victim) {
  return victim.needs_per_task * static_cast<std::int64_t>(victim.placements.size());
}

}  // namespace

std::optional<std::vector<std::size_t>> FindQuotaStops(const PendingStep& pending,
                                                       const WorkspaceQuotas& quotas,
                                                       const PlanSnapshot& snapshot,
                                                       const std::vector<bool>& is_stopped) {
  const std::vector<PlanVictim>& victims = snapshot.victims;
  const auto cost = [&snapshot](std::size_t victim) {
    return CostOfStop(snapshot.victims[victim], snapshot.policy);
  };
  WorkspaceQuotas after_stops = quotas;
  std::vector<std::size_t> candidates;
  for (std::size_t index = 0; index < victims.size(); ++index) {
    if (is_stopped[index] || victims[index].workspace != pending.workspace) {
      continue;
    }
    if (EndsSoon(pending, victims[index])) {
      after_stops.AddBeingFreed(pending.workspace, NeedsOf(victims[index]));
    } else if (MayStop(pending, victims[index])) {
      candidates.push_back(index);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [&cost](std::size_t left, std::size_t right) { return cost(left) < cost(right); });
  const std::int64_t wanted = static_cast<std::int64_t>(pending.task_indexes.size());
  std::vector<std::size_t> chosen;
  double total_cost = 0;
  auto candidate = candidates.begin();
  while (after_stops.TasksAllowedAfterStops(pending) < wanted) {
    if (candidate == candidates.end()) {
      return std::nullopt;
    }
    after_stops.AddBeingFreed(pending.workspace, NeedsOf(victims[*candidate]));
    total_cost += cost(*candidate);
    chosen.push_back(*candidate++);
  }
  const bool costs_too_much = !pending.is_guaranteed && total_cost >= pending.max_lost_work;
  return costs_too_much ? std::nullopt : std::optional(std::move(chosen));
}

}  // namespace papayalift
