/// Packs demands into zones by counts of slots. Exact for task sizes that are powers of two.
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
  /// Equal demands take zones in ascending order, so that the search skips permutations of them.
  std::size_t FirstZoneFor(std::size_t rank) const;

  const std::vector<Demand>& m_demands;
  std::vector<ZoneTaskCapacity> m_capacities;
  /// Positions in m_demands: first those with a required zone, then the largest.
  std::vector<std::size_t> m_order;
  Packing m_packing;
  int m_steps = 0;
};

}  // namespace papayalift
