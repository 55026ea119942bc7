#include "libraries/metrics/metrics.h"

#include <criterion/criterion.h>

#include <regex>
#include <sstream>

namespace papayalift {

namespace {

bool ContainsLine(const std::string& text, const std::string& line) {
  std::istringstream lines(text);
  for (std::string found; std::getline(lines, found);) {
    if (found == line) {
      return true;
    }
  }
  return false;
}

}  // namespace

Test(metrics, histogram_counts_samples_up_to_each_bound) {
  Metrics metrics;
  for (const double sample : {0.5, 3.0, 3.0, 70.0, 60'000.0}) {
    metrics.Observe("papayalift_request_ms{request=\"submit\"}", sample);
  }
  const std::string text = metrics.Text();
  cr_assert(ContainsLine(text, R"(papayalift_request_ms_bucket{request="submit",le="1"} 1)"));
  cr_assert(ContainsLine(text, R"(papayalift_request_ms_bucket{request="submit",le="5"} 3)"));
  cr_assert(ContainsLine(text, R"(papayalift_request_ms_bucket{request="submit",le="100"} 4)"));
  cr_assert(ContainsLine(text, R"(papayalift_request_ms_bucket{request="submit",le="10000"} 4)"));
  cr_assert(ContainsLine(text, R"(papayalift_request_ms_bucket{request="submit",le="+Inf"} 5)"));
  cr_assert(ContainsLine(text, R"(papayalift_request_ms_count{request="submit"} 5)"));
  cr_assert(ContainsLine(text, R"(papayalift_request_ms_sum{request="submit"} 60076.5)"));
}

// A series' labels and its quantile label were once written in two pairs of braces, which scrapers
// reject.
Test(metrics, text_any_metric_is_in_prometheus_format) {
  Metrics metrics;
  metrics.Increment("papayalift_requests_total{request=\"ask\",reply=\"state\"}");
  metrics.SetGauge("papayalift_leader", 1);
  metrics.Observe("papayalift_plan_ms", 3);
  metrics.Observe("papayalift_store_call_ms{call=\"read\"}", 4);
  const std::regex format(
      R"([a-z_]+(\{[a-z]+="[^"]*"(,[a-z]+="[^"]*")*\})? -?[0-9.]+(e[+-][0-9]+)?)");
  std::istringstream lines(metrics.Text());
  int count = 0;
  for (std::string line; std::getline(lines, line); ++count) {
    cr_expect(std::regex_match(line, format), "%s", line.c_str());
  }
  cr_assert_gt(count, 20);
}

}  // namespace papayalift
