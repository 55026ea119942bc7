/// How many tasks of each power-of-two size fit into a zone, as counts of slots per size.
///
/// The counts are exact if every task takes a power of two of adjacent accelerators: a run of L
/// accelerators has L / s slots of size s, and a task of size 2s takes exactly two of them wherever
/// it is placed, as long as larger tasks are placed first. So gangs fit into a zone together if for
/// each size s the gangs with tasks of size s or more need no more slots of size s than there are.
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

  /// Task sizes are rounded up to a power of two.
  bool Fits(const Shape& shape) const;
  void Allocate(const Shape& shape);
  void Release(const Shape& shape);
  void Add(const ZoneTaskCapacity& other);

 private:
  /// Free slots for tasks of size 2^index.
  std::array<int, kSizeCount> m_slots{};
};

/// Whether ZoneTaskCapacity is exact for the shape.
bool HasPowerOfTwoTaskSize(const Shape& shape);

}  // namespace papayalift
