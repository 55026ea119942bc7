#include "libraries/lab/comparison.h"

#include <atomic>
#include <thread>

#include "libraries/base/try.h"
#include "libraries/decisions/policy.h"
#include "libraries/lab/lab_run.h"
#include "libraries/lab/metric.h"

namespace papayalift {

namespace {

/// Reports by policy, then by seed.
using ReportTable = std::vector<std::vector<RunReport>>;

ReportTable RunAll(const Scenario& scenario, const ComparisonPlan& plan) {
  const std::size_t seeds = static_cast<std::size_t>(plan.seeds);
  ReportTable reports(plan.policies.size(), std::vector<RunReport>(seeds));
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t run = next++; run < plan.policies.size() * seeds; run = next++) {
      const std::size_t policy = run % plan.policies.size();
      const std::size_t seed = run / plan.policies.size();
      // ComparePolicies has validated the policy names.
      reports[policy][seed] = *RunPolicy(scenario, plan.policies[policy], seed + 1);
    }
  };
  std::vector<std::jthread> threads;
  threads.reserve(static_cast<std::size_t>(plan.threads));
  for (int index = 0; index < plan.threads; ++index) {
    threads.emplace_back(work);
  }
  threads.clear();
  return reports;
}

std::vector<double> ValuesOf(const Metric& metric, const std::vector<RunReport>& reports) {
  std::vector<double> values;
  values.reserve(reports.size());
  for (const RunReport& report : reports) {
    values.push_back(metric.value(report));
  }
  return values;
}

MetricComparison CompareBy(const Metric& metric, const ReportTable& reports) {
  MetricComparison comparison;
  comparison.metric = metric.name;
  const std::vector<double> first = ValuesOf(metric, reports.front());
  for (const std::vector<RunReport>& runs : reports) {
    const std::vector<double> values = ValuesOf(metric, runs);
    std::vector<double> differences = values;
    for (std::size_t seed = 0; seed < values.size(); ++seed) {
      differences[seed] -= first[seed];
    }
    comparison.policies.push_back(
        PolicyEstimate{runs.front().policy, EstimateOf(values), EstimateOf(differences)});
  }
  return comparison;
}

}  // namespace

absl::StatusOr<Comparison> ComparePolicies(const Scenario& scenario, const ComparisonPlan& plan) {
  if (plan.policies.empty() || plan.seeds < 1 || plan.threads < 1) {
    return absl::InvalidArgumentError(
        "a comparison requires at least one policy, one seed and one thread");
  }
  for (const std::string& policy : plan.policies) {
    TRY(FindPolicy(policy));
  }
  const ReportTable reports = RunAll(scenario, plan);
  Comparison comparison;
  comparison.scenario = scenario.name;
  comparison.seeds = plan.seeds;
  for (const Metric& metric : Metrics()) {
    comparison.metrics.push_back(CompareBy(metric, reports));
  }
  return comparison;
}

}  // namespace papayalift
