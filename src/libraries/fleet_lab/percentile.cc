#include "libraries/fleet_lab/percentile.h"

#include <algorithm>
#include <cmath>

namespace papayalift {

Milliseconds PercentileOf(std::vector<Milliseconds> samples, double fraction) {
  if (samples.empty()) {
    return Milliseconds(0);
  }
  const double rank = std::ceil(fraction * static_cast<double>(samples.size()));
  const std::size_t index =
      std::min(samples.size() - 1, static_cast<std::size_t>(std::max(0.0, rank - 1)));
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index),
                   samples.end());
  return samples[index];
}

}  // namespace papayalift
