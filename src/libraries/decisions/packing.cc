#include "libraries/decisions/packing.h"

#include <algorithm>
#include <utility>

#include "libraries/decisions/count_packer.h"
#include "libraries/decisions/run_packer.h"

namespace papayalift {

std::optional<Packing> FindPacking(const std::vector<Demand>& demands,
                                   const CapacityMap& capacity) {
  std::vector<ZoneTaskCapacity> capacities;
  for (const ZoneRange& zone : capacity.zones()) {
    capacities.push_back(ZoneTaskCapacity::OfZone(capacity, zone));
  }
  std::optional<Packing> packing = CountPacker(demands, std::move(capacities)).Pack();
  const bool exact = std::all_of(demands.begin(), demands.end(), [](const Demand& demand) {
    return HasPowerOfTwoTaskSize(demand.shape);
  });
  return packing || exact ? packing : RunPacker(demands, capacity).Pack();
}

}  // namespace papayalift
