/// Chooses borrowed gangs to stop so that another gang fits: the fewest gangs, then the least work
/// lost since their last checkpoints.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/decisions/capacity_map.h"

namespace papayalift {

struct VictimChoice {
  std::vector<const GangView*> victims;
  /// Accelerator-milliseconds since the victims' last checkpoints.
  std::int64_t work_lost = 0;
};

bool IsBetter(const VictimChoice& left, const VictimChoice& right);

/// Accelerator-milliseconds that stopping the gang at once would lose.
std::int64_t WorkLostBy(const GangView& gang);

/// Victims among `gangs`, all in `zone`, without which `shape` fits there. Empty if it fits
/// already; nullopt if it would not fit even with all of `gangs` stopped. A choice of one victim is
/// the best of its size, and so is one of two while there are few candidates; a larger choice
/// contains no victim that is not needed.
std::optional<VictimChoice> ChooseVictims(const Shape& shape,
                                          const std::vector<const GangView*>& gangs,
                                          const CapacityMap& capacity, const ZoneRange& zone);

}  // namespace papayalift
