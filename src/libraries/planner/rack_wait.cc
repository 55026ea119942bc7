#include "libraries/planner/rack_wait.h"

#include <algorithm>
#include <optional>

#include "libraries/planner/placement_search.h"
#include "libraries/planner/room_forecast.h"

namespace papayalift {

namespace {

/// How often the step must fit elsewhere for it to count as room in plenty.
constexpr std::int64_t kPlenty = 2;

bool HasPlentyOfRoom(const PendingStep& pending, const PlanCapacity& capacity) {
  const std::int64_t wanted = kPlenty * TasksThatStartTogether(pending);
  std::int64_t fitting = 0;
  for (const MinionCapacity& minion : capacity.minions()) {
    if (fitting >= wanted) {
      break;
    }
    if (MatchesStep(pending, *minion.minion)) {
      const std::int64_t slots = TaskSlotsOn(pending, minion.minion->id);
      fitting +=
          pending.spec.needs.MaxCountIn(minion.free_without_reservations, std::min(wanted, slots));
    }
  }
  return fitting >= wanted;
}

}  // namespace

bool HasRackPreference(const PendingStep& pending) {
  return pending.spec.prefers_one_rack || !pending.spec.data_rack.empty();
}

bool HasSpentRackHold(const PendingStep& pending, const PlanCapacity& capacity) {
  return pending.held_for_rack >= pending.remote_penalty ||
         (!pending.job_has_runs && pending.held_for_rack >= kMaxWaitBesideRoom &&
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
