#include "libraries/lab/sample_summary.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace papayalift {

namespace {

double Quantile(const std::vector<double>& sorted, double share) {
  const double rank = std::ceil(share * static_cast<double>(sorted.size()));
  return sorted[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

}  // namespace

SampleSummary Summarize(std::vector<double> samples) {
  SampleSummary summary;
  if (samples.empty()) {
    return summary;
  }
  std::sort(samples.begin(), samples.end());
  summary.count = static_cast<int>(samples.size());
  summary.mean =
      std::accumulate(samples.begin(), samples.end(), 0.0) / static_cast<double>(samples.size());
  summary.p50 = Quantile(samples, 0.50);
  summary.p95 = Quantile(samples, 0.95);
  summary.p99 = Quantile(samples, 0.99);
  summary.worst = samples.back();
  return summary;
}

}  // namespace papayalift
