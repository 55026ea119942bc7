#include "libraries/decisions/placer.h"

#include <algorithm>
#include <utility>

namespace papayalift {

std::optional<PlacementChoice> Placer::FindPlacement(const Shape& shape,
                                                     const CapacityMap& capacity) const {
  std::optional<PlacementChoice> best;
  for (const ZoneRange& zone : capacity.zones()) {
    std::optional<PlacementChoice> choice = FindPlacementInZone(shape, capacity, zone);
    if (choice && (!best || choice->cost < best->cost)) {
      best = std::move(choice);
    }
  }
  return best;
}

std::vector<PlacementChoice> Placer::FindPlacementInEachZone(const Shape& shape,
                                                             const CapacityMap& capacity) const {
  std::vector<PlacementChoice> choices;
  for (const ZoneRange& zone : capacity.zones()) {
    std::optional<PlacementChoice> choice = FindPlacementInZone(shape, capacity, zone);
    if (choice) {
      choices.push_back(*std::move(choice));
    }
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const PlacementChoice& left, const PlacementChoice& right) {
                     return left.cost < right.cost;
                   });
  return choices;
}

void FillWorker(const WorkerCapacity& capacity, const Shape& shape,
                std::vector<TaskPlacement>& tasks) {
  AcceleratorSet free = capacity.free;
  while (static_cast<int>(tasks.size()) < shape.tasks.value()) {
    const std::optional<AcceleratorSet> run = free.FindBestFit(shape.accelerators_per_task);
    if (!run) {
      return;
    }
    tasks.push_back(TaskPlacement{capacity.worker->id, *run});
    free = free.Without(*run);
  }
}

}  // namespace papayalift
