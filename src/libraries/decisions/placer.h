/// Strategy: where a gang goes.
#pragma once

#include <optional>
#include <vector>

#include "libraries/decisions/capacity_map.h"

namespace papayalift {

struct PlacementChoice {
  ZoneId zone;
  std::vector<TaskPlacement> tasks;
  /// The lower, the better; only compared between choices of one placer.
  double cost = 0;
};

class Placer {
 public:
  virtual ~Placer() = default;

  /// A place for the whole gang in `zone`, one of capacity.zones(), or nothing.
  virtual std::optional<PlacementChoice> FindPlacementInZone(const Shape& shape,
                                                             const CapacityMap& capacity,
                                                             const ZoneRange& zone) const = 0;

  /// The cheapest place over all zones, the first among equals.
  std::optional<PlacementChoice> FindPlacement(const Shape& shape,
                                               const CapacityMap& capacity) const;

  /// A place in each zone that has one, the cheapest first.
  std::vector<PlacementChoice> FindPlacementInEachZone(const Shape& shape,
                                                       const CapacityMap& capacity) const;
};

/// Adds to `tasks` as many of the gang's missing tasks as the free accelerators of one worker hold.
void FillWorker(const WorkerCapacity& capacity, const Shape& shape,
                std::vector<TaskPlacement>& tasks);

}  // namespace papayalift
