/// Renders comparisons as SVG.
#pragma once

#include <string>

#include "libraries/lab/comparison.h"

namespace papayalift {

/// Draws one panel per metric with one bar per policy and its 95% confidence interval.
std::string PlotComparison(const Comparison& comparison);

}  // namespace papayalift
