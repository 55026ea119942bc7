/// As few racks and workers as possible, and of those the fullest: what stays free stays whole.
#pragma once

#include "libraries/decisions/placer.h"

namespace papayalift {

class BestFit final : public Placer {
 public:
  std::optional<PlacementChoice> FindPlacementInZone(const Shape& shape,
                                                     const CapacityMap& capacity,
                                                     const ZoneRange& zone) const override;
};

}  // namespace papayalift
