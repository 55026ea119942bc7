#include "libraries/lab/comparison.h"

#include <criterion/criterion.h>

#include <cmath>

#include "lab/lab_fixture.h"
#include "libraries/lab/comparison_codec.h"
#include "libraries/lab/comparison_plot.h"

namespace papayalift {

namespace {

constexpr double kTolerance = 1e-3;

/// Zone-wide gangs ahead of many small jobs with random run times.
struct MixedFixture : LabFixture {
  MixedFixture() {
    AddJobs("wide", Shape{TaskCount(2), AcceleratorCount(4)}, 30 * kMinute, kMinute,
            kNeverCancelled, 3);
    AddJobs("small", Shape{}, 5 * kMinute, kMinute, kNeverCancelled, 20);
    scenario.classes.back().run_time_spread = 1.0;
  }

  Comparison Compare(std::vector<std::string> policies, int threads) const {
    return *ComparePolicies(scenario, ComparisonPlan{std::move(policies), 4, threads});
  }
};

/// The first metric is the mean completion time.
const std::vector<PolicyEstimate>& FirstMetric(const Comparison& comparison) {
  return comparison.metrics.front().policies;
}

}  // namespace

Test(estimate, estimate_of_two_samples_returns_expected_interval) {
  // The mean is 2, the standard error 1, and the 97.5% quantile of t with one degree of freedom
  // is 12.706.
  const Estimate estimate = EstimateOf({1.0, 3.0});
  cr_assert(std::abs(estimate.mean - 2.0) < kTolerance);
  cr_assert(std::abs(estimate.half_width - 12.706) < kTolerance);
}

Test(comparison, compare_policy_with_itself_has_zero_difference) {
  const Comparison comparison = MixedFixture().Compare({"fifo", "fifo"}, 1);
  for (const MetricComparison& metric : comparison.metrics) {
    const bool wall_clock = metric.metric.find("wall clock") != std::string::npos;
    cr_assert(wall_clock || metric.policies.back().difference.mean == 0.0);
  }
  cr_assert_gt(FirstMetric(comparison).front().value.half_width, 0.0);
}

Test(comparison, compare_more_threads_gives_same_figures) {
  const MixedFixture fixture;
  const Comparison alone = fixture.Compare({"fifo", "papaya"}, 1);
  const Comparison shared = fixture.Compare({"fifo", "papaya"}, 3);
  for (std::size_t policy = 0; policy < 2; ++policy) {
    cr_assert_eq(FirstMetric(alone)[policy].value.mean, FirstMetric(shared)[policy].value.mean);
    cr_assert_eq(FirstMetric(alone)[policy].difference.mean,
                 FirstMetric(shared)[policy].difference.mean);
  }
}

Test(comparison, compare_unknown_policy_is_refused) {
  const MixedFixture fixture;
  const ComparisonPlan plan{{"fifo", "nothing"}, 1, 1};
  cr_assert_not(ComparePolicies(fixture.scenario, plan).ok());
}

Test(comparison_codec, decode_encoded_comparison_is_the_same) {
  const Comparison comparison = MixedFixture().Compare({"fifo", "papaya"}, 1);
  const std::string text = EncodeComparison(comparison);
  const absl::StatusOr<Comparison> decoded = DecodeComparison(text);
  cr_assert(decoded.ok());
  cr_assert_eq(EncodeComparison(*decoded), text);
  cr_assert_not(DecodeComparison("{\"scenario\": \"x\"}").ok());
}

Test(comparison_plot, plot_draws_a_bar_for_each_policy_and_metric) {
  const Comparison comparison = MixedFixture().Compare({"fifo", "papaya"}, 1);
  const std::string svg = PlotComparison(comparison);
  std::size_t bars = 0;
  for (std::size_t at = svg.find("<rect x="); at != std::string::npos;
       at = svg.find("<rect x=", at + 1)) {
    ++bars;
  }
  cr_assert_eq(bars, 2 * comparison.metrics.size());
}

}  // namespace papayalift
