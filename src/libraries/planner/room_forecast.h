/// When minions will have room for a step, by the expected ends of what runs there.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/planner/plan_capacity.h"

namespace papayalift {

/// Room on one minion for tasks of a step.
struct ForecastRoom {
  /// Index into PlanCapacity::minions().
  std::size_t minion = 0;
  Resources free;
  /// Number of the step's tasks that fit.
  std::int64_t tasks = 0;
};

struct RoomForecast {
  /// From now; 0 if there is room already.
  Milliseconds time{0};
  /// All minions that were looked at, in their order, with their room at that time.
  std::vector<ForecastRoom> rooms;
};

/// Number of the step's tasks that can only start together: all of a gang, or 1.
std::int64_t TasksThatStartTogether(const PendingStep& pending);

/// The earliest time at which the minions, indexes into PlanCapacity::minions(), have room for all
/// tasks that start together. Minions that are held for other gangs don't count. Empty if even the
/// ends of all runs make no room.
std::optional<RoomForecast> ForecastRoomOn(const PendingStep& pending, const PlanCapacity& capacity,
                                           const std::vector<std::size_t>& minions);

/// The time until a preferred rack has room. The answer is kept for the rest of the pass, in which
/// room only gets less, for all steps that need the same.
std::optional<Milliseconds> TimeUntilRackFits(const PendingStep& pending,
                                              const PlanCapacity& capacity);

/// ForecastRoomOn() the preferred rack, or whichever rack is first; empty if no rack can hold the
/// step.
std::optional<RoomForecast> ForecastRoomOnRack(const PendingStep& pending,
                                               const PlanCapacity& capacity);

}  // namespace papayalift
