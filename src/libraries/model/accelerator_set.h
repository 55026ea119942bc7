/// A set of accelerators of one worker, by position; neighbouring positions are adjacent.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "libraries/base/units.h"

namespace papayalift {

class AcceleratorSet {
 public:
  static constexpr int kMaxWorkerAccelerators = 64;

  constexpr AcceleratorSet() = default;
  constexpr explicit AcceleratorSet(std::uint64_t bits) : m_bits(bits) {}

  /// Positions 0 to `count` - 1.
  static AcceleratorSet First(AcceleratorCount count);
  /// `count` positions from `start` on.
  static AcceleratorSet RunAt(int start, AcceleratorCount count);

  std::uint64_t bits() const { return m_bits; }
  bool empty() const { return m_bits == 0; }
  AcceleratorCount Count() const;

  bool Overlaps(AcceleratorSet other) const { return (m_bits & other.m_bits) != 0; }
  bool Contains(AcceleratorSet other) const { return (m_bits & other.m_bits) == other.m_bits; }
  AcceleratorSet Union(AcceleratorSet other) const { return AcceleratorSet(m_bits | other.m_bits); }
  AcceleratorSet Without(AcceleratorSet other) const {
    return AcceleratorSet(m_bits & ~other.m_bits);
  }

  /// The first `count` positions of the shortest run that is long enough, which leaves longer runs
  /// unbroken; the lowest of several such runs. Nothing if no run is long enough.
  std::optional<AcceleratorSet> FindBestFit(AcceleratorCount count) const;

  /// Length of the longest run of adjacent positions.
  AcceleratorCount LongestRun() const;

  auto operator<=>(const AcceleratorSet&) const = default;

 private:
  std::uint64_t m_bits = 0;
};

}  // namespace papayalift
