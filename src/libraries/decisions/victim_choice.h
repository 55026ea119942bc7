/// Which borrowed gangs to stop so that a guaranteed gang has room: the fewest gangs, then the
/// least work lost since their checkpoints.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/decisions/capacity_map.h"

namespace papayalift {

struct VictimChoice {
  std::vector<const GangView*> victims;
  /// Accelerator-milliseconds since the victims' checkpoints.
  std::int64_t work_lost = 0;
};

bool IsBetter(const VictimChoice& left, const VictimChoice& right);

/// Accelerator-milliseconds that stopping the gang at once would lose.
std::int64_t WorkLostBy(const GangView& gang);

/// Victims among `gangs`, all in `zone`, so that `shape` fits there; none where it fits
/// already, nothing where all of them don't suffice. Exact for up to two victims, else no victim is
/// superfluous.
std::optional<VictimChoice> ChooseVictims(const Shape& shape,
                                          const std::vector<const GangView*>& gangs,
                                          const CapacityMap& capacity, const ZoneRange& zone);

}  // namespace papayalift
