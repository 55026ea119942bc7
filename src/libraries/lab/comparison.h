/// Several policies through the same seeds of one scenario.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/lab/estimate.h"
#include "libraries/lab/scenario.h"

namespace papayalift {

struct PolicyEstimate {
  std::string policy;
  Estimate value;
  /// Over the seeds, this policy less the first one on the same seed.
  Estimate difference;
};

struct MetricComparison {
  std::string metric;
  std::vector<PolicyEstimate> policies;
};

struct Comparison {
  std::string scenario;
  /// Seeds 1 to this were run.
  int seeds = 0;
  std::vector<MetricComparison> metrics;
};

struct ComparisonPlan {
  std::vector<std::string> policies;
  int seeds = 1;
  /// How many runs go on at once.
  int threads = 1;
};

/// kNotFound where there is no such policy. The figures do not depend on the number of threads.
absl::StatusOr<Comparison> ComparePolicies(const Scenario& scenario, const ComparisonPlan& plan);

}  // namespace papayalift
