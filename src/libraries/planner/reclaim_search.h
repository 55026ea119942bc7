/// Chooses what is stopped so that a guaranteed unit fits.
#pragma once

#include <optional>
#include <vector>

#include "libraries/planner/plan_capacity.h"

namespace papayalift {

struct FoundReclaim {
  std::vector<PlannedPlacement> placements;
  /// Indexes into the snapshot's victims.
  std::vector<std::size_t> victims;
  double lost_work = 0;
};

/// The places and victims that lose the least work, on one rack where the step wants that and a
/// rack can hold it; borrowers of the same priority only where the unit may stop them and nothing
/// else suffices. Empty where stopping everything allowed does not make room for all waiting tasks.
std::optional<FoundReclaim> FindReclaim(const PendingStep& pending, const PlanCapacity& capacity,
                                        const std::vector<PlanVictim>& victims,
                                        const std::vector<bool>& is_stopped);

}  // namespace papayalift
