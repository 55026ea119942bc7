#include "libraries/lab/comparison_codec.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

using OrderedJson = nlohmann::ordered_json;

constexpr int kIndent = 2;

OrderedJson Encode(const Estimate& estimate) {
  return OrderedJson{{"mean", estimate.mean}, {"half_width_95", estimate.half_width}};
}

Estimate DecodeEstimate(const Json& json) {
  return Estimate{json.at("mean").get<double>(), json.at("half_width_95").get<double>()};
}

OrderedJson Encode(const MetricComparison& metric) {
  OrderedJson policies = OrderedJson::array();
  for (const PolicyEstimate& policy : metric.policies) {
    policies.push_back(OrderedJson{{"policy", policy.policy},
                                   {"value", Encode(policy.value)},
                                   {"difference_to_first", Encode(policy.difference)}});
  }
  return OrderedJson{{"metric", metric.metric}, {"policies", policies}};
}

MetricComparison DecodeMetric(const Json& json) {
  MetricComparison metric;
  metric.metric = json.at("metric").get<std::string>();
  for (const Json& policy : json.at("policies")) {
    metric.policies.push_back(PolicyEstimate{policy.at("policy").get<std::string>(),
                                             DecodeEstimate(policy.at("value")),
                                             DecodeEstimate(policy.at("difference_to_first"))});
  }
  return metric;
}

}  // namespace

std::string EncodeComparison(const Comparison& comparison) {
  OrderedJson metrics = OrderedJson::array();
  for (const MetricComparison& metric : comparison.metrics) {
    metrics.push_back(Encode(metric));
  }
  const OrderedJson json{
      {"scenario", comparison.scenario}, {"seeds", comparison.seeds}, {"metrics", metrics}};
  return json.dump(kIndent);
}

absl::StatusOr<Comparison> DecodeComparison(std::string_view text) {
  return DecodeRecord<Comparison>(text, [](const Json& json) {
    Comparison comparison;
    comparison.scenario = json.at("scenario").get<std::string>();
    comparison.seeds = json.at("seeds").get<int>();
    for (const Json& metric : json.at("metrics")) {
      comparison.metrics.push_back(DecodeMetric(metric));
    }
    return comparison;
  });
}

std::string ComparisonTable(const Comparison& comparison) {
  std::string text = fmt::format(
      "{}, {} seeds; mean ± half of the 95% confidence interval, and in brackets the "
      "difference to the first policy\n| metric |",
      comparison.scenario, comparison.seeds);
  std::string rule = "\n| --- |";
  for (const PolicyEstimate& policy : comparison.metrics.front().policies) {
    text += fmt::format(" {} |", policy.policy);
    rule += " --- |";
  }
  text += rule;
  for (const MetricComparison& metric : comparison.metrics) {
    text += fmt::format("\n| {} |", metric.metric);
    for (const PolicyEstimate& policy : metric.policies) {
      text += fmt::format(" {:.4g} ± {:.2g} ({:+.3g} ± {:.2g}) |", policy.value.mean,
                          policy.value.half_width, policy.difference.mean,
                          policy.difference.half_width);
    }
  }
  return text;
}

}  // namespace papayalift
