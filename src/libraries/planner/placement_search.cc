#include "libraries/planner/placement_search.h"

#include <algorithm>
#include <array>
#include <limits>
#include <span>
#include <utility>

#include "libraries/planner/rack_wait.h"
#include "libraries/planner/room_forecast.h"

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
  const std::int64_t waiting = static_cast<std::int64_t>(pending.task_indexes.size());
  return pending.spec.needs.MaxCountIn(
      FreeFor(pending, capacity, member),
      std::min(waiting, TaskSlotsOn(pending, capacity.minion->id)));
}

bool IsLastResort(const PendingStep& pending, const PlanMinion& minion) {
  return minion.is_avoided || minion.speed < kSlowSpeed || pending.failed_on.contains(minion.id);
}

/// How well the speed of a minion suits the step. Fast minions are left to steps that need them.
enum class SpeedFit { kEnough, kFasterThanNeeded, kTooSlow };

SpeedFit SpeedFitOf(const PendingStep& pending, const PlanMinion& minion) {
  if (!IsFastEnough(pending, minion)) {
    return SpeedFit::kTooSlow;
  }
  return minion.is_fast ? SpeedFit::kFasterThanNeeded : SpeedFit::kEnough;
}

/// Which minions all members of a gang are placed on. A gang is as slow as its slowest member, so
/// that fast minions beside one that is too slow gain nothing.
struct GangTier {
  bool allows_fast = true;
  bool allows_too_slow = true;
  bool allows_last_resort = true;

  bool Allows(const PendingStep& pending, const PlanMinion& minion) const {
    return (allows_fast || !minion.is_fast) && (allows_too_slow || IsFastEnough(pending, minion)) &&
           (allows_last_resort || !IsLastResort(pending, minion));
  }
};

/// In order of preference: minions that are fast enough without being fast, all that are fast
/// enough, the slow ones, and all.
constexpr std::array<GangTier, 4> kTiersBySpeed{
    GangTier{.allows_fast = false, .allows_too_slow = false, .allows_last_resort = false},
    GangTier{.allows_too_slow = false, .allows_last_resort = false},
    GangTier{.allows_fast = false, .allows_last_resort = false}, GangTier{}};
constexpr std::array<GangTier, 1> kTiersOfEvenMinions{GangTier{}};

/// If no minion of the service counts as fast, all are one tier.
std::span<const GangTier> GangTiersFor(const PendingStep& pending, const PlanCapacity& capacity) {
  const bool regards_speed = capacity.HasFastMinions(pending.service);
  return regards_speed ? std::span<const GangTier>(kTiersBySpeed)
                       : std::span<const GangTier>(kTiersOfEvenMinions);
}

/// Prefers minions that are not avoided or slow and have not failed a task of this job, then those
/// whose speed suits the step, then those with the fewest free accelerators (best fit), so that
/// large free blocks are kept.
bool IsPreferred(const PendingStep& pending, CapacityMember member, const Candidate& left,
                 const Candidate& right) {
  const bool left_avoided = IsLastResort(pending, *left.capacity->minion);
  const bool right_avoided = IsLastResort(pending, *right.capacity->minion);
  if (left_avoided != right_avoided) {
    return right_avoided;
  }
  const SpeedFit left_fit = SpeedFitOf(pending, *left.capacity->minion);
  const SpeedFit right_fit = SpeedFitOf(pending, *right.capacity->minion);
  if (left_fit != right_fit) {
    return left_fit < right_fit;
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

/// Number of the step's tasks that fit on the minion; 0 if it is not eligible.
std::int64_t FittingTasksOn(const PendingStep& pending, const MinionCapacity& minion,
                            CapacityMember member) {
  // Checks the capacity first: that is cheaper and fails more often.
  const std::int64_t max_tasks = MaxTasksOn(pending, minion, member);
  return max_tasks > 0 && IsEligible(pending, *minion.minion) ? max_tasks : 0;
}

std::int64_t TotalTasksOn(const PendingStep& pending, const PlanCapacity& capacity,
                          CapacityMember member, const std::vector<std::size_t>& minions,
                          const GangTier& tier) {
  std::int64_t sum = 0;
  for (const std::size_t index : minions) {
    const MinionCapacity& minion = capacity.minions()[index];
    if (tier.Allows(pending, *minion.minion)) {
      sum += FittingTasksOn(pending, minion, member);
    }
  }
  return sum;
}

/// Candidates among the minions, in order of preference.
std::vector<Candidate> CandidatesAmong(const PendingStep& pending, const PlanCapacity& capacity,
                                       CapacityMember member,
                                       const std::vector<std::size_t>& minions,
                                       const GangTier& tier = GangTier{}) {
  std::vector<Candidate> candidates;
  for (const std::size_t index : minions) {
    const MinionCapacity& minion = capacity.minions()[index];
    if (!tier.Allows(pending, *minion.minion)) {
      continue;
    }
    const std::int64_t max_tasks = FittingTasksOn(pending, minion, member);
    if (max_tasks > 0) {
      candidates.push_back(Candidate{&minion, max_tasks});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [&pending, member](const Candidate& left, const Candidate& right) {
              return IsPreferred(pending, member, left, right);
            });
  return candidates;
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

/// Puts single tasks on minions whose speed is not known, ahead of the others. At most half of the
/// tasks, as their progress is compared with that of the rest.
std::vector<Candidate> WithMeasurements(const PendingStep& pending,
                                        std::vector<Candidate> candidates) {
  std::vector<Candidate> measured;
  for (Candidate& candidate : candidates) {
    const PlanMinion& minion = *candidate.capacity->minion;
    if (measured.size() >= pending.task_indexes.size() / 2) {
      break;
    }
    if (minion.needs_measurement && !IsLastResort(pending, minion)) {
      measured.push_back(Candidate{candidate.capacity, 1});
      --candidate.max_tasks;
    }
  }
  measured.insert(measured.end(), candidates.begin(), candidates.end());
  return measured;
}

/// Whether the step's tasks may be spread to learn the speed of minions: it can wait, and there is
/// room beside it.
bool MayMeasureMinions(const PendingStep& pending, const PlanCapacity& capacity) {
  return pending.min_speed <= 0 && capacity.HasSpareCapacity(pending.service);
}

std::vector<PlannedPlacement> AssignGang(const PendingStep& pending, const PlanCapacity& capacity,
                                         CapacityMember member,
                                         const std::vector<std::size_t>& minions,
                                         const GangTier& tier) {
  return AssignTasks(pending, CandidatesAmong(pending, capacity, member, minions, tier));
}

/// The rack that has the least capacity left after the gang is placed on minions of the tier;
/// nullptr if no rack has room for it.
const std::vector<std::size_t>* FindRackForGang(const PendingStep& pending,
                                                const PlanCapacity& capacity, CapacityMember member,
                                                const GangTier& tier) {
  const std::int64_t count = static_cast<std::int64_t>(pending.task_indexes.size());
  const std::vector<std::size_t>* best = nullptr;
  std::int64_t best_sum = 0;
  const auto consider = [&](const std::vector<std::size_t>& minions) {
    const std::int64_t sum = TotalTasksOn(pending, capacity, member, minions, tier);
    if (sum >= count && (best == nullptr || sum < best_sum)) {
      best_sum = sum;
      best = &minions;
    }
  };
  if (!pending.spec.data_rack.empty()) {
    consider(capacity.OnRack(pending.spec.data_rack));
  } else {
    for (const auto& [rack, minions] : capacity.racks()) {
      consider(minions);
    }
  }
  return best;
}

/// Places a gang on one rack.
std::optional<FoundPlacements> FindGangOnSingleRack(const PendingStep& pending,
                                                    const PlanCapacity& capacity,
                                                    CapacityMember member) {
  for (const GangTier& tier : GangTiersFor(pending, capacity)) {
    const std::vector<std::size_t>* const rack = FindRackForGang(pending, capacity, member, tier);
    if (rack != nullptr) {
      return FoundPlacements{AssignGang(pending, capacity, member, *rack, tier), true};
    }
  }
  return std::nullopt;
}

/// Places a gang that fits somewhere, on whatever racks.
std::vector<PlannedPlacement> PlaceGangAnywhere(const PendingStep& pending,
                                                const PlanCapacity& capacity,
                                                CapacityMember member) {
  std::vector<PlannedPlacement> placements;
  for (const GangTier& tier : GangTiersFor(pending, capacity)) {
    placements = AssignGang(pending, capacity, member, capacity.everywhere(), tier);
    if (placements.size() == pending.task_indexes.size()) {
      break;
    }
  }
  return placements;
}

}  // namespace

bool IsEligible(const PendingStep& pending, const PlanMinion& minion) {
  return (!minion.is_avoided || pending.may_use_avoided) && MatchesStep(pending, minion);
}

bool IsFastEnough(const PendingStep& pending, const PlanMinion& minion) {
  return pending.min_speed <= 0 || (minion.speed >= pending.min_speed && !minion.needs_measurement);
}

bool MatchesStep(const PendingStep& pending, const PlanMinion& minion) {
  if (minion.service != pending.service) {
    return false;
  }
  return pending.spec.required_label.empty() ||
         std::find(minion.labels.begin(), minion.labels.end(), pending.spec.required_label) !=
             minion.labels.end();
}

Resources FreeFor(const PendingStep& pending, const MinionCapacity& minion, CapacityMember member) {
  const Resources& free = minion.*member;
  if (!minion.hold.has_value() || member == &MinionCapacity::free_without_reservations ||
      !minion.hold->Restrains(pending) || minion.hold->EndsBefore(pending.spec.estimate)) {
    return free;
  }
  return Least(free, minion.hold->spare);
}

std::int64_t TaskSlotsOn(const PendingStep& pending, const MinionId& minion) {
  if (pending.spec.max_tasks_per_worker == 0) {
    return std::numeric_limits<std::int64_t>::max();
  }
  const auto found = pending.placed_on_minion.find(minion);
  const int placed = found == pending.placed_on_minion.end() ? 0 : found->second;
  return std::max(0, pending.spec.max_tasks_per_worker - placed);
}

bool FitsAnywhere(const PendingStep& pending, const PlanCapacity& capacity, CapacityMember member) {
  const std::int64_t wanted = TasksThatStartTogether(pending);
  std::int64_t fitting = 0;
  return std::any_of(capacity.minions().begin(), capacity.minions().end(),
                     [&](const MinionCapacity& minion) {
                       fitting += FittingTasksOn(pending, minion, member);
                       return fitting >= wanted;
                     });
}

std::optional<FoundPlacements> FindGangPlacements(const PendingStep& pending,
                                                  const PlanCapacity& capacity,
                                                  CapacityMember member) {
  if (!FitsAnywhere(pending, capacity, member)) {
    return std::nullopt;
  }
  if (HasRackPreference(pending)) {
    if (std::optional<FoundPlacements> on_rack = FindGangOnSingleRack(pending, capacity, member)) {
      return on_rack;
    }
    if (ShouldWaitForRack(pending, capacity)) {
      return std::nullopt;
    }
  }
  return FoundPlacements{PlaceGangAnywhere(pending, capacity, member), !HasRackPreference(pending)};
}

std::string SpeedReasonOf(const PendingStep& pending, const PlanCapacity& capacity,
                          const std::vector<PlannedPlacement>& placements) {
  if (!capacity.HasFastMinions(pending.service)) {
    return "";
  }
  bool any_fast = false;
  bool all_enough = true;
  for (const PlannedPlacement& placement : placements) {
    const PlanMinion& minion = *capacity.CapacityOf(placement.minion).minion;
    any_fast = any_fast || minion.is_fast;
    all_enough = all_enough && IsFastEnough(pending, minion);
  }
  if (!all_enough) {
    return "no room on minions that are fast enough";
  }
  if (pending.min_speed > 0) {
    return "minions that are fast enough";
  }
  return any_fast ? "no room on slow minions" : "slow minions";
}

FoundPlacements FindTaskPlacements(const PendingStep& pending, const PlanCapacity& capacity,
                                   CapacityMember member) {
  const auto place_among = [&](const std::vector<std::size_t>& minions) {
    std::vector<Candidate> candidates = CandidatesAmong(pending, capacity, member, minions);
    if (MayMeasureMinions(pending, capacity)) {
      candidates = WithMeasurements(pending, std::move(candidates));
    }
    return AssignTasks(pending, candidates);
  };
  if (pending.spec.data_rack.empty()) {
    return FoundPlacements{place_among(capacity.everywhere()), true};
  }
  FoundPlacements on_rack{place_among(capacity.OnRack(pending.spec.data_rack)), true};
  if (!on_rack.placements.empty() || ShouldWaitForRack(pending, capacity)) {
    return on_rack;
  }
  return FoundPlacements{place_among(capacity.everywhere()), false};
}

}  // namespace papayalift
