/// Packing of guaranteed shapes into zones. A packing proves that all of them fit at once.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "libraries/decisions/capacity_map.h"

namespace papayalift {

/// The capacity for one gang, which a packing has to place.
struct Demand {
  WorkspaceId workspace;
  Shape shape;
  /// Position in CapacityMap::zones() of the zone it must be in; nullopt if it may be in any.
  std::optional<std::size_t> required_zone;
};

/// For each demand the position of its zone in CapacityMap::zones().
using Packing = std::vector<std::size_t>;

/// Packs all demands into the free accelerators of `capacity`. The number of search steps is
/// limited: a search that reaches the limit may miss a packing but never returns a wrong one.
std::optional<Packing> FindPacking(const std::vector<Demand>& demands, const CapacityMap& capacity);

}  // namespace papayalift
