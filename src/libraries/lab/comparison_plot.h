/// Comparisons drawn as SVG.
#pragma once

#include <string>

#include "libraries/lab/comparison.h"

namespace papayalift {

/// One panel for each metric: a bar for each policy, with its 95% confidence interval.
std::string PlotComparison(const Comparison& comparison);

}  // namespace papayalift
