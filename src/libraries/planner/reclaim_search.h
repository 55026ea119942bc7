/// Chooses the runs to stop so that a step within its guarantee fits.
#pragma once

#include <optional>
#include <vector>

#include "libraries/planner/plan_capacity.h"

namespace papayalift {

struct FoundReclaim {
  std::vector<PlannedPlacement> placements;
  /// Indexes into the snapshot's victims.
  std::vector<std::size_t> victims;
  /// What the stops cost (CostOfStop), in weighted core-seconds.
  double cost = 0;
};

/// Searches for placements and victims that cost little, on one rack if the step prefers that and a
/// rack can hold it. Room of runs that end within PendingStep::max_wait_for_ends costs nothing, and
/// these are not stopped. Borrowers of the same priority are only chosen if the step may stop them
/// and stopping lower priorities does not suffice. Empty if stopping all permitted victims does not
/// free capacity for all waiting tasks, or if a step beyond its guarantee would cost too much.
std::optional<FoundReclaim> FindReclaim(const PendingStep& pending, const PlanCapacity& capacity,
                                        const PlanSnapshot& snapshot,
                                        const std::vector<bool>& is_stopped);

}  // namespace papayalift
