/// Sample mean with its confidence interval.
#pragma once

#include <vector>

namespace papayalift {

struct Estimate {
  double mean = 0.0;
  /// Half-width of the 95% confidence interval by Student's t; 0 for fewer than two samples.
  double half_width = 0.0;
};

Estimate EstimateOf(const std::vector<double>& samples);

}  // namespace papayalift
