/// Finds places for the tasks of one unit in the room that is left.
#pragma once

#include <optional>
#include <vector>

#include "libraries/planner/plan_room.h"

namespace papayalift {

struct FoundPlaces {
  std::vector<PlanTaskPlace> places;
  /// All on the rack that the step wants, or it wants none.
  bool is_near = true;
};

/// Whether a task of the unit may ever run on the minion, leaving its room aside.
bool IsEligible(const PlanUnit& unit, const PlanMinion& minion);

/// The racks on which the unit may run near its data or together.
std::vector<RackId> RacksFor(const PlanUnit& unit, const PlanRoom& room);

/// Places for all tasks of a gang, or empty. `member` says which room counts.
std::optional<FoundPlaces> FindGang(const PlanUnit& unit, const PlanRoom& room, RoomMember member);

/// Places for as many single tasks as fit.
FoundPlaces FindSingles(const PlanUnit& unit, const PlanRoom& room, RoomMember member);

/// The step runs slower elsewhere, and its rack could hold it if nothing else ran there.
bool ShouldWaitForRack(const PlanUnit& unit, const PlanRoom& room);

}  // namespace papayalift
