#include "libraries/lab/estimate.h"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <numeric>

namespace papayalift {

namespace {

/// Upper quantile of a two-sided 95% confidence interval.
constexpr double kUpperQuantile = 0.975;

}  // namespace

Estimate EstimateOf(const std::vector<double>& samples) {
  Estimate estimate;
  const double count = static_cast<double>(samples.size());
  if (samples.empty()) {
    return estimate;
  }
  estimate.mean = std::accumulate(samples.begin(), samples.end(), 0.0) / count;
  if (samples.size() < 2) {
    return estimate;
  }
  double squares = 0.0;
  for (const double sample : samples) {
    squares += (sample - estimate.mean) * (sample - estimate.mean);
  }
  const double freedom = count - 1.0;
  const double quantile = boost::math::quantile(boost::math::students_t(freedom), kUpperQuantile);
  estimate.half_width = quantile * std::sqrt(squares / freedom / count);
  return estimate;
}

}  // namespace papayalift
