/// How much room a zone has for each task size, by counts alone.
///
/// Where every task takes a power of two of adjacent accelerators, counts are exact: a run of L
/// accelerators holds L / s tasks of size s, and a task of size 2s takes exactly the place of two,
/// wherever it goes, when larger tasks are placed first. So gangs fit a zone together if for each
/// size s the gangs with tasks of size s or more need no more places of size s than there are.
#pragma once

#include <array>
#include <cstddef>

#include "libraries/decisions/capacity_map.h"

namespace papayalift {

class ZoneTaskCapacity {
 public:
  /// Sizes 1, 2, 4 up to AcceleratorSet::kMaxWorkerAccelerators.
  static constexpr std::size_t kSizeCount = 7;

  static ZoneTaskCapacity OfZone(const CapacityMap& capacity, const ZoneRange& zone);

  /// Task sizes between two powers of two count as the larger.
  bool Fits(const Shape& shape) const;
  void Allocate(const Shape& shape);
  void Release(const Shape& shape);
  void Add(const ZoneTaskCapacity& other);

 private:
  /// Places still free for tasks of size 2^index.
  std::array<int, kSizeCount> m_slots{};
};

/// Whether counts are exact for the shape.
bool HasPowerOfTwoTaskSize(const Shape& shape);

}  // namespace papayalift
