/// First fit: the first zone, and in it the first workers, that hold the gang.
#pragma once

#include "libraries/decisions/placer.h"

namespace papayalift {

class FirstFit final : public Placer {
 public:
  std::optional<PlacementChoice> FindPlacementInZone(const Shape& shape,
                                                     const CapacityMap& capacity,
                                                     const ZoneRange& zone) const override;
};

}  // namespace papayalift
