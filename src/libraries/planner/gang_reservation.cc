#include "libraries/planner/gang_reservation.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "libraries/planner/rack_wait.h"
#include "libraries/planner/room_forecast.h"

namespace papayalift {

namespace {

/// Most gangs find room within this time.
constexpr Milliseconds kMinGangWait{2'000};
/// Each reservation leaves minions empty for some time and costs a forecast in each pass.
constexpr std::size_t kMaxReservations = 4;

/// Reservations together keep no more of a service empty, so that most of it is always in use.
constexpr double kMaxReservedShare = 0.4;

/// A gang within its guarantee stops others instead.
bool MayReserve(const PendingStep& pending) {
  return pending.spec.kind == WorkStepKind::kGang && pending.isolated.empty() &&
         pending.waited >= kMinGangWait && !pending.is_guaranteed;
}

double SizeOf(const PendingStep& gang) {
  return WeightedCores(gang.spec.needs) * static_cast<double>(gang.task_indexes.size());
}

/// Where the gang can be whole first, on its preferred rack if that is worth the wait.
std::optional<RoomForecast> FindRoom(const PendingStep& gang, const PlanCapacity& capacity) {
  std::optional<RoomForecast> anywhere = ForecastRoomOn(gang, capacity, capacity.everywhere());
  if (!anywhere.has_value() || !HasRackPreference(gang)) {
    return anywhere;
  }
  std::optional<RoomForecast> on_rack = ForecastRoomOnRack(gang, capacity);
  const Milliseconds patience = gang.remote_penalty - gang.held_for_rack;
  return on_rack.has_value() && on_rack->time - anywhere->time < patience ? on_rack : anywhere;
}

void Hold(const PendingStep& gang, const RoomForecast& forecast, PlanCapacity& capacity) {
  std::int64_t missing = TasksThatStartTogether(gang);
  for (const ForecastRoom& room : forecast.rooms) {
    const std::int64_t members = std::min(missing, room.tasks);
    if (members > 0) {
      missing -= members;
      capacity.Hold(room.minion, CapacityHold{gang.job, gang.step, gang.priority, forecast.time,
                                              room.free - gang.spec.needs * members,
                                              capacity.HasSpareCapacity(gang.service)});
    }
  }
}

}  // namespace

void ReserveForGangs(const std::vector<const PendingStep*>& pending, PlanCapacity& capacity) {
  std::vector<const PendingStep*> gangs;
  std::copy_if(pending.begin(), pending.end(), std::back_inserter(gangs),
               [](const PendingStep* step) { return MayReserve(*step); });
  std::stable_sort(gangs.begin(), gangs.end(),
                   [](const PendingStep* left, const PendingStep* right) {
                     return left->priority != right->priority ? left->priority < right->priority
                                                              : left->waited > right->waited;
                   });
  std::set<WorkspaceId> served;
  std::map<ServiceId, double> reserved;
  for (const PendingStep* const gang : gangs) {
    if (served.size() == kMaxReservations) {
      return;
    }
    double& size = reserved[gang->service];
    const bool is_too_large =
        size + SizeOf(*gang) > kMaxReservedShare * capacity.WeightedCapacityOf(gang->service);
    if (is_too_large || served.contains(gang->workspace)) {
      continue;
    }
    if (const std::optional<RoomForecast> forecast = FindRoom(*gang, capacity)) {
      Hold(*gang, *forecast, capacity);
      served.insert(gang->workspace);
      size += SizeOf(*gang);
    }
  }
}

}  // namespace papayalift
