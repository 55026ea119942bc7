/// How long a lease that a minion measures on its own clock may last on this process's clock.
#pragma once

#include <cstdint>

#include "libraries/base/units.h"

namespace papayalift {

/// Lowest rate of a minion's clock relative to this process's clock, with a margin for rounding.
constexpr double kMinClockRate = 0.975;
constexpr Milliseconds kLeaseMargin{150};

/// By then a lease that has `left` on the minion's clock has certainly expired.
constexpr Milliseconds LongestRealTime(Milliseconds left) {
  return Milliseconds(static_cast<std::int64_t>(static_cast<double>((left + kLeaseMargin).count()) /
                                                kMinClockRate));
}

}  // namespace papayalift
