/// Comparison of several policies over the same seeds of one scenario.
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
  /// Paired by seed: the value of this policy minus that of the first policy.
  Estimate difference;
};

struct MetricComparison {
  std::string metric;
  std::vector<PolicyEstimate> policies;
};

struct Comparison {
  std::string scenario;
  /// Number of seeds; they are numbered from 1.
  int seeds = 0;
  std::vector<MetricComparison> metrics;
};

struct ComparisonPlan {
  std::vector<std::string> policies;
  int seeds = 1;
  /// Number of concurrent runs.
  int threads = 1;
};

/// Returns kNotFound for an unknown policy and kInvalidArgument without policies, seeds or threads.
/// Except for wall-clock metrics, the results do not depend on the number of threads.
absl::StatusOr<Comparison> ComparePolicies(const Scenario& scenario, const ComparisonPlan& plan);

}  // namespace papayalift
