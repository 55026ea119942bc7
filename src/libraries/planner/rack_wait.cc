#include "libraries/planner/rack_wait.h"

#include <algorithm>
#include <map>

#include "libraries/planner/placement_search.h"

namespace papayalift {

namespace {

/// How often the step must fit elsewhere for it to count as room in plenty.
constexpr std::int64_t kPlenty = 2;

std::int64_t TasksOn(const PendingStep& pending, const PlanMinion& minion, const Resources& free,
                     std::int64_t limit) {
  const std::int64_t slots = TaskSlotsOn(pending, minion.id);
  return pending.spec.needs.MaxCountIn(free, std::min(limit, slots));
}

bool HasPlentyOfRoom(const PendingStep& pending, const PlanCapacity& capacity) {
  const std::int64_t wanted = kPlenty * TasksThatStartTogether(pending);
  std::int64_t fitting = 0;
  for (const MinionCapacity& minion : capacity.minions()) {
    if (fitting < wanted && IsEligible(pending, *minion.minion)) {
      fitting += TasksOn(pending, *minion.minion, minion.free, wanted);
    }
  }
  return fitting >= wanted;
}

/// The earliest time at which the minions have room for the step, as their runs end one by one.
std::optional<Milliseconds> TimeUntilMinionsFit(const PendingStep& pending,
                                                const PlanCapacity& capacity,
                                                const std::vector<std::size_t>& minions) {
  struct End {
    Milliseconds remaining{0};
    std::size_t minion = 0;
    Resources freed;
  };
  const std::int64_t wanted = TasksThatStartTogether(pending);
  std::vector<End> ends;
  std::map<std::size_t, Resources> free;
  std::int64_t fitting = 0;
  for (const std::size_t index : minions) {
    const MinionCapacity& minion = capacity.minions()[index];
    if (!IsEligible(pending, *minion.minion)) {
      continue;
    }
    free[index] = minion.free;
    fitting += TasksOn(pending, *minion.minion, minion.free, wanted);
    for (const std::vector<PlanRun>* const runs : {&minion.minion->runs, &minion.started}) {
      for (const PlanRun& run : *runs) {
        ends.push_back(End{run.remaining, index, run.needs});
      }
    }
  }
  if (fitting >= wanted) {
    return Milliseconds(0);
  }
  std::sort(ends.begin(), ends.end(),
            [](const End& left, const End& right) { return left.remaining < right.remaining; });
  for (const End& end : ends) {
    const PlanMinion& minion = *capacity.minions()[end.minion].minion;
    Resources& room = free[end.minion];
    fitting -= TasksOn(pending, minion, room, wanted);
    room += end.freed;
    fitting += TasksOn(pending, minion, room, wanted);
    if (fitting >= wanted) {
      return end.remaining;
    }
  }
  return std::nullopt;
}

}  // namespace

bool HasRackPreference(const PendingStep& pending) {
  return pending.spec.prefers_one_rack || !pending.spec.data_rack.empty();
}

std::int64_t TasksThatStartTogether(const PendingStep& pending) {
  return pending.spec.kind == WorkStepKind::kGang
             ? static_cast<std::int64_t>(pending.task_indexes.size())
             : 1;
}

std::optional<Milliseconds> TimeUntilRackFits(const PendingStep& pending,
                                              const PlanCapacity& capacity) {
  if (!pending.spec.data_rack.empty()) {
    return TimeUntilMinionsFit(pending, capacity, capacity.OnRack(pending.spec.data_rack));
  }
  std::optional<Milliseconds> soonest;
  for (const auto& [rack, minions] : capacity.racks()) {
    const std::optional<Milliseconds> time = TimeUntilMinionsFit(pending, capacity, minions);
    if (time.has_value() && (!soonest.has_value() || *time < *soonest)) {
      soonest = time;
    }
  }
  return soonest;
}

bool HasSpentRackHold(const PendingStep& pending, const PlanCapacity& capacity) {
  return pending.held_for_rack >= pending.remote_penalty ||
         (!pending.job_has_runs && pending.held_for_rack >= kMaxRackHoldBesideRoom &&
          HasPlentyOfRoom(pending, capacity));
}

bool ShouldWaitForRack(const PendingStep& pending, const PlanCapacity& capacity) {
  if (!HasRackPreference(pending) || HasSpentRackHold(pending, capacity)) {
    return false;
  }
  const std::optional<Milliseconds> time = TimeUntilRackFits(pending, capacity);
  return time.has_value() && *time < pending.remote_penalty - pending.held_for_rack;
}

}  // namespace papayalift
