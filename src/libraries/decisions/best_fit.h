/// Best fit: as few racks and workers as possible, the fullest preferred, to limit fragmentation.
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
