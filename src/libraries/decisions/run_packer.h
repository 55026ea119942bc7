/// Packs demands into zones by a search over the runs of free accelerators. Exact for all task
/// sizes; CountPacker rounds those up that are not powers of two.
#pragma once

#include <vector>

#include "libraries/decisions/packing.h"

namespace papayalift {

class RunPacker {
 public:
  RunPacker(const std::vector<Demand>& demands, const CapacityMap& capacity);

  std::optional<Packing> Pack();

 private:
  bool PlaceDemand(std::size_t rank);
  bool PlaceTasks(std::size_t rank, std::size_t zone, int missing);

  const std::vector<Demand>& m_demands;
  /// By zone and length, how many runs of that length are free.
  std::vector<std::vector<int>> m_free_runs;
  std::vector<std::size_t> m_order;
  Packing m_packing;
  int m_steps = 0;
};

}  // namespace papayalift
