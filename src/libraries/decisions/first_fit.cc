#include "libraries/decisions/first_fit.h"

namespace papayalift {

std::optional<PlacementChoice> FirstFit::FindPlacementInZone(const Shape& shape,
                                                             const CapacityMap& capacity,
                                                             const ZoneRange& zone) const {
  PlacementChoice choice;
  choice.zone = zone.zone;
  for (std::size_t position = zone.workers.begin; position < zone.workers.end; ++position) {
    FillWorker(capacity.workers()[position], shape, choice.tasks);
    if (static_cast<int>(choice.tasks.size()) == shape.tasks.value()) {
      return choice;
    }
  }
  return std::nullopt;
}

}  // namespace papayalift
