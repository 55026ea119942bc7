/// Quantiles of samples that are all at hand.
#pragma once

#include <vector>

#include "libraries/base/units.h"

namespace papayalift {

/// The smallest sample that at least `fraction` of all reach up to; 0 where there is none.
Milliseconds PercentileOf(std::vector<Milliseconds> samples, double fraction);

}  // namespace papayalift
