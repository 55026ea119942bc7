/// Exact quantiles of a set of samples.
#pragma once

#include <vector>

#include "libraries/base/units.h"

namespace papayalift {

/// Returns the smallest sample that at least `fraction` of all samples do not exceed; 0 if empty.
Milliseconds PercentileOf(std::vector<Milliseconds> samples, double fraction);

}  // namespace papayalift
