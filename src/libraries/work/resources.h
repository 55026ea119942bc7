/// The resources that a task needs or a worker has.
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

  /// Whether this is no more than `available` in any dimension.
  bool Fits(const Resources& available) const;

  /// How many times this fits into `available`, at most `limit`.
  std::int64_t MaxCountIn(const Resources& available, std::int64_t limit) const;
};

/// What a quota leaves: `quota` less `used` in each dimension, or as good as unlimited where the
/// quota is 0. Never negative.
Resources QuotaLeft(const Resources& quota, const Resources& used);

/// Size in cores; an accelerator counts as eight cores, memory is ignored.
double WeightedCores(const Resources& resources);

}  // namespace papayalift
