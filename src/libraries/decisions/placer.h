/// Strategy: where a gang is placed.
#pragma once

#include <optional>
#include <vector>

#include "libraries/decisions/capacity_map.h"

namespace papayalift {

struct PlacementChoice {
  ZoneId zone;
  std::vector<TaskPlacement> tasks;
  /// Lower is better; only comparable between choices of the same placer.
  double cost = 0;
};

class Placer {
 public:
  virtual ~Placer() = default;

  /// A placement of the whole gang in `zone`, one of capacity.zones(); nullopt if it does not fit.
  virtual std::optional<PlacementChoice> FindPlacementInZone(const Shape& shape,
                                                             const CapacityMap& capacity,
                                                             const ZoneRange& zone) const = 0;

  /// The cheapest placement over all zones; of equally cheap ones the first.
  std::optional<PlacementChoice> FindPlacement(const Shape& shape,
                                               const CapacityMap& capacity) const;

  /// One placement for each zone in which the gang fits, the cheapest first.
  std::vector<PlacementChoice> FindPlacementInEachZone(const Shape& shape,
                                                       const CapacityMap& capacity) const;
};

/// Adds to `tasks` as many of the gang's missing tasks as the free accelerators of one worker hold.
void FillWorker(const WorkerCapacity& capacity, const Shape& shape,
                std::vector<TaskPlacement>& tasks);

}  // namespace papayalift
