#include "libraries/planner/wait_reason.h"

#include <array>

#include "libraries/planner/placement_search.h"
#include "libraries/planner/rack_wait.h"

namespace papayalift {

std::string WaitReasonText(WaitReason reason) {
  static constexpr std::array<const char*, kWaitReasons> kTexts = {
      "no_capacity", "rack",        "reserved", "stops",
      "isolation",   "former_runs", "quota",    "leader_behind"};
  return kTexts[static_cast<std::size_t>(reason)];
}

WaitReason FindWaitReason(const PendingStep& pending, const PlanCapacity& capacity) {
  if (HasRackPreference(pending) && FitsAnywhere(pending, capacity, &MinionCapacity::free)) {
    return WaitReason::kRack;
  }
  if (capacity.has_reservations() &&
      FitsAnywhere(pending, capacity, &MinionCapacity::free_without_reservations)) {
    return WaitReason::kReserved;
  }
  return WaitReason::kNoCapacity;
}

}  // namespace papayalift
