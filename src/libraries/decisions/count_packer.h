/// Packs demands into zones by counts of places. Exact for task sizes that are powers of two.
#pragma once

#include <vector>

#include "libraries/decisions/packing.h"
#include "libraries/decisions/zone_task_capacity.h"

namespace papayalift {

class CountPacker {
 public:
  CountPacker(const std::vector<Demand>& demands, std::vector<ZoneTaskCapacity> capacities);

  std::optional<Packing> Pack();

 private:
  bool FitsMergedZones() const;
  bool PlaceDemand(std::size_t rank);
  bool PlaceDemandIn(std::size_t rank, std::size_t zone);
  /// Equal demands take zones in order, so that no two searches differ only by swapping them.
  std::size_t FirstZoneFor(std::size_t rank) const;

  const std::vector<Demand>& m_demands;
  std::vector<ZoneTaskCapacity> m_capacities;
  /// Positions in the demands, those bound to a zone first, then the largest.
  std::vector<std::size_t> m_order;
  Packing m_packing;
  int m_steps = 0;
};

}  // namespace papayalift
