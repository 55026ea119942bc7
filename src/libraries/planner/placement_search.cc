#include "libraries/planner/placement_search.h"

#include <algorithm>

namespace papayalift {

namespace {

/// A minion with a lower speed is only used if no other has capacity.
constexpr double kSlowSpeed = 0.4;

/// A minion and the number of the step's tasks that fit on it.
struct Candidate {
  const MinionCapacity* capacity = nullptr;
  std::int64_t max_tasks = 0;
};

std::int64_t MaxTasksOn(const PendingStep& pending, const MinionCapacity& capacity,
                        CapacityMember member) {
  std::int64_t max_tasks = pending.spec.needs.MaxCountIn(
      capacity.*member, static_cast<std::int64_t>(pending.task_indexes.size()));
  if (pending.spec.max_tasks_per_worker > 0) {
    const auto found = pending.placed_on_minion.find(capacity.minion->id);
    const int already_placed = found == pending.placed_on_minion.end() ? 0 : found->second;
    max_tasks = std::min<std::int64_t>(
        max_tasks, std::max(0, pending.spec.max_tasks_per_worker - already_placed));
  }
  return max_tasks;
}

/// Prefers minions that are neither slow nor have failed a task of this job, then those with the
/// fewest free accelerators (best fit), so that large free blocks are kept.
bool IsPreferred(const PendingStep& pending, CapacityMember member, const Candidate& left,
                 const Candidate& right) {
  const bool left_avoided = left.capacity->minion->speed < kSlowSpeed ||
                            pending.failed_on.contains(left.capacity->minion->id);
  const bool right_avoided = right.capacity->minion->speed < kSlowSpeed ||
                             pending.failed_on.contains(right.capacity->minion->id);
  if (left_avoided != right_avoided) {
    return right_avoided;
  }
  if (pending.is_guaranteed) {
    const std::int64_t left_after_reclaim = left.capacity->free_after_reclaim.accelerators;
    const std::int64_t right_after_reclaim = right.capacity->free_after_reclaim.accelerators;
    if (left_after_reclaim != right_after_reclaim) {
      return left_after_reclaim < right_after_reclaim;
    }
  }
  const std::int64_t left_free = (left.capacity->*member).accelerators;
  const std::int64_t right_free = (right.capacity->*member).accelerators;
  if (left_free != right_free) {
    return left_free < right_free;
  }
  if (left.capacity->minion->speed != right.capacity->minion->speed) {
    return left.capacity->minion->speed > right.capacity->minion->speed;
  }
  return left.capacity->minion->id < right.capacity->minion->id;
}

void AddCandidate(const PendingStep& pending, const MinionCapacity& minion, CapacityMember member,
                  std::vector<Candidate>& candidates) {
  // Checks the capacity first: that is cheaper and fails more often.
  const std::int64_t max_tasks = MaxTasksOn(pending, minion, member);
  if (max_tasks > 0 && IsEligible(pending, *minion.minion)) {
    candidates.push_back(Candidate{&minion, max_tasks});
  }
}

/// Candidates on one rack, or on all if `rack` is null, in order of preference.
std::vector<Candidate> CandidatesOn(const PendingStep& pending, const PlanCapacity& capacity,
                                    CapacityMember member, const RackId* rack) {
  std::vector<Candidate> candidates;
  if (rack != nullptr) {
    for (const std::size_t index : capacity.OnRack(*rack)) {
      AddCandidate(pending, capacity.minions()[index], member, candidates);
    }
  } else {
    for (const MinionCapacity& minion : capacity.minions()) {
      AddCandidate(pending, minion, member, candidates);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [&pending, member](const Candidate& left, const Candidate& right) {
              return IsPreferred(pending, member, left, right);
            });
  return candidates;
}

std::int64_t TotalTasks(const std::vector<Candidate>& candidates) {
  std::int64_t sum = 0;
  for (const Candidate& candidate : candidates) {
    sum += candidate.max_tasks;
  }
  return sum;
}

std::vector<PlannedPlacement> AssignTasks(const PendingStep& pending,
                                          const std::vector<Candidate>& candidates) {
  std::vector<PlannedPlacement> placements;
  auto index = pending.task_indexes.begin();
  for (const Candidate& candidate : candidates) {
    for (std::int64_t count = 0; count < candidate.max_tasks && index != pending.task_indexes.end();
         ++count) {
      placements.push_back(PlannedPlacement{*index++, candidate.capacity->minion->id});
    }
  }
  return placements;
}

/// Places a gang on the rack that has the least capacity left afterwards.
std::optional<FoundPlacements> FindGangOnSingleRack(const PendingStep& pending,
                                                    const PlanCapacity& capacity,
                                                    CapacityMember member) {
  const std::int64_t count = static_cast<std::int64_t>(pending.task_indexes.size());
  std::optional<std::vector<Candidate>> best;
  std::int64_t best_sum = 0;
  for (const RackId& rack : RacksFor(pending, capacity)) {
    std::vector<Candidate> candidates = CandidatesOn(pending, capacity, member, &rack);
    const std::int64_t sum = TotalTasks(candidates);
    if (sum >= count && (!best.has_value() || sum < best_sum)) {
      best_sum = sum;
      best = std::move(candidates);
    }
  }
  if (!best.has_value()) {
    return std::nullopt;
  }
  return FoundPlacements{AssignTasks(pending, *best), true};
}

bool HasRackPreference(const PendingStep& pending) {
  return pending.spec.prefers_one_rack || !pending.spec.data_rack.empty();
}

/// Number of the step's tasks that fit on an otherwise empty rack.
std::int64_t RackCapacity(const PendingStep& pending, const PlanCapacity& capacity,
                          const RackId& rack) {
  std::int64_t sum = 0;
  for (const std::size_t index : capacity.OnRack(rack)) {
    const PlanMinion& minion = *capacity.minions()[index].minion;
    if (IsEligible(pending, minion)) {
      sum += pending.spec.needs.MaxCountIn(minion.capacity,
                                           static_cast<std::int64_t>(pending.task_indexes.size()));
    }
  }
  return sum;
}

}  // namespace

bool IsEligible(const PendingStep& pending, const PlanMinion& minion) {
  if (minion.service != pending.service) {
    return false;
  }
  return pending.spec.required_label.empty() ||
         std::find(minion.labels.begin(), minion.labels.end(), pending.spec.required_label) !=
             minion.labels.end();
}

std::vector<RackId> RacksFor(const PendingStep& pending, const PlanCapacity& capacity) {
  if (!pending.spec.data_rack.empty()) {
    return {pending.spec.data_rack};
  }
  std::vector<RackId> racks;
  for (const auto& [rack, minion_indexes] : capacity.racks()) {
    racks.push_back(rack);
  }
  return racks;
}

bool ShouldWaitForRack(const PendingStep& pending, const PlanCapacity& capacity) {
  if (!HasRackPreference(pending) || pending.waited >= pending.max_rack_wait) {
    return false;
  }
  const std::int64_t wanted = pending.spec.kind == WorkStepKind::kGang
                                  ? static_cast<std::int64_t>(pending.task_indexes.size())
                                  : 1;
  const std::vector<RackId> racks = RacksFor(pending, capacity);
  return std::any_of(racks.begin(), racks.end(), [&pending, &capacity, wanted](const RackId& rack) {
    return RackCapacity(pending, capacity, rack) >= wanted;
  });
}

std::optional<FoundPlacements> FindGangPlacements(const PendingStep& pending,
                                                  const PlanCapacity& capacity,
                                                  CapacityMember member) {
  if (HasRackPreference(pending)) {
    if (std::optional<FoundPlacements> on_rack = FindGangOnSingleRack(pending, capacity, member)) {
      return on_rack;
    }
    if (ShouldWaitForRack(pending, capacity)) {
      return std::nullopt;
    }
  }
  const std::vector<Candidate> candidates = CandidatesOn(pending, capacity, member, nullptr);
  if (TotalTasks(candidates) < static_cast<std::int64_t>(pending.task_indexes.size())) {
    return std::nullopt;
  }
  return FoundPlacements{AssignTasks(pending, candidates), !HasRackPreference(pending)};
}

FoundPlacements FindTaskPlacements(const PendingStep& pending, const PlanCapacity& capacity,
                                   CapacityMember member) {
  if (pending.spec.data_rack.empty()) {
    return FoundPlacements{AssignTasks(pending, CandidatesOn(pending, capacity, member, nullptr)),
                           true};
  }
  FoundPlacements on_rack{
      AssignTasks(pending, CandidatesOn(pending, capacity, member, &pending.spec.data_rack)), true};
  if (!on_rack.placements.empty() || ShouldWaitForRack(pending, capacity)) {
    return on_rack;
  }
  return FoundPlacements{AssignTasks(pending, CandidatesOn(pending, capacity, member, nullptr)),
                         false};
}

}  // namespace papayalift
