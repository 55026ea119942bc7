/// Whether a step is held back for its preferred rack although it would fit elsewhere.
#pragma once

#include "libraries/planner/plan_capacity.h"

namespace papayalift {

/// Whether the step prefers to run on one rack.
bool HasRackPreference(const PendingStep& pending);

/// Whether the step has been held for its rack for as long as it may be in all: for what it takes
/// longer elsewhere, or, if nothing of its job runs and it fits twice over elsewhere, for
/// kMaxWaitBesideRoom.
bool HasSpentRackHold(const PendingStep& pending, const PlanCapacity& capacity);

/// Whether it pays to hold the step: a preferred rack is expected to be free before the step would
/// have made up for it elsewhere. What it has been held before counts too, as estimates may be
/// wrong and other steps may take the room.
bool ShouldWaitForRack(const PendingStep& pending, const PlanCapacity& capacity);

}  // namespace papayalift
