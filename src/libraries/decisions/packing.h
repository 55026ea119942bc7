/// The proof behind guarantees: a zone for each guaranteed shape so that all fit at once.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "libraries/decisions/capacity_map.h"

namespace papayalift {

/// One gang's worth of capacity that must have a place.
struct Demand {
  WorkspaceId workspace;
  Shape shape;
  /// Position in CapacityMap::zones() of the only zone that will do; nothing where any will.
  std::optional<std::size_t> required_zone;
};

/// For each demand the position of its zone in CapacityMap::zones().
using Packing = std::vector<std::size_t>;

/// A packing of all demands over the free accelerators of `capacity`. The search is exact while it
/// stays within a bounded effort; beyond that it may miss a packing but never invents one.
std::optional<Packing> FindPacking(const std::vector<Demand>& demands, const CapacityMap& capacity);

}  // namespace papayalift
