/// Whether a step is held back for its preferred rack although it would fit elsewhere.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/planner/plan_capacity.h"

namespace papayalift {

/// If nothing of its job runs, a step for which there is room twice over elsewhere is held for its
/// rack no longer than this in all.
constexpr Milliseconds kMaxRackHoldBesideRoom{1'500};

/// Whether the step prefers to run on one rack.
bool HasRackPreference(const PendingStep& pending);

/// Number of the step's tasks that can only start together: all of a gang, or 1.
std::int64_t TasksThatStartTogether(const PendingStep& pending);

/// The time until a preferred rack has room for the step, by the estimates of what runs there; 0 if
/// it has room now, empty if no preferred rack could hold the step or nothing known will end.
std::optional<Milliseconds> TimeUntilRackFits(const PendingStep& pending,
                                              const PlanCapacity& capacity);

/// Whether the step has been held for its rack for as long as it may be in all.
bool HasSpentRackHold(const PendingStep& pending, const PlanCapacity& capacity);

/// Whether it pays to hold the step: a preferred rack is expected to be free before the step would
/// have made up for it elsewhere. What it has been held before counts too, as estimates may be
/// wrong and other steps may take the room.
bool ShouldWaitForRack(const PendingStep& pending, const PlanCapacity& capacity);

}  // namespace papayalift
