/// What a task needs and a worker has, in three dimensions.
#pragma once

#include <cstdint>

namespace papayalift {

struct Resources {
  /// Thousandths of a core.
  std::int64_t cpu_milli = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  Resources operator+(const Resources& other) const;
  Resources operator-(const Resources& other) const;
  Resources operator*(std::int64_t times) const;

  bool Fits(const Resources& available) const;

  /// How often this fits into `room`; `most` where it needs nothing.
  std::int64_t MaxCountIn(const Resources& available, std::int64_t limit) const;
};

/// Size in cores, an accelerator counting as eight.
double WeightedCores(const Resources& resources);

}  // namespace papayalift
