/// Exact quantiles of a set of samples.
#pragma once

#include <vector>

namespace papayalift {

struct SampleSummary {
  int count = 0;
  double mean = 0.0;
  double p50 = 0.0;
  double p95 = 0.0;
  double p99 = 0.0;
  double worst = 0.0;
};

/// Quantiles by nearest rank; all 0 without samples.
SampleSummary Summarize(std::vector<double> samples);

}  // namespace papayalift
