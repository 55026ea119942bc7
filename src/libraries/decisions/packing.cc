#include "libraries/decisions/packing.h"

#include <algorithm>
#include <utility>

#include "libraries/decisions/count_packer.h"
#include "libraries/decisions/run_packer.h"

namespace papayalift {

std::optional<Packing> FindPacking(const std::vector<Demand>& demands,
                                   const CapacityMap& capacity) {
  std::vector<ZoneRoom> rooms;
  for (const ZoneRange& zone : capacity.zones()) {
    rooms.push_back(ZoneRoom::Of(capacity, zone));
  }
  std::optional<Packing> packing = CountPacker(demands, std::move(rooms)).Run();
  const bool exact = std::all_of(demands.begin(), demands.end(), [](const Demand& demand) {
    return HasPowerOfTwoTasks(demand.shape);
  });
  return packing || exact ? packing : RunPacker(demands, capacity).Run();
}

}  // namespace papayalift
