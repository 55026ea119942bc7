#include "libraries/metrics/metrics.h"

// clang-format off
// NOTE: the accumulator headers use <sstream> without including it, so it has to come first.
#include <sstream>
// clang-format on

#include <fmt/format.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <vector>

namespace papayalift {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{0.5, 0.95, 0.99};
/// Upper bounds of the histogram buckets; most samples are in milliseconds.
constexpr std::array<double, 13> kBucketBounds{1,   2,   5,     10,    20,    50,    100,
                                               200, 500, 1'000, 2'000, 5'000, 10'000};

using SampleSet =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                                            acc::tag::extended_p_square_quantile>>;

/// Returns `name` with `suffix` added before its labels and `label` added to them.
std::string SeriesName(const std::string& name, const std::string& suffix,
                       const std::string& label = "") {
  const std::size_t brace = name.find('{');
  const std::string base = name.substr(0, brace);
  std::string labels =
      brace == std::string::npos ? "" : name.substr(brace + 1, name.size() - brace - 2);
  if (!labels.empty() && !label.empty()) {
    labels += ",";
  }
  labels += label;
  return labels.empty() ? base + suffix : fmt::format("{}{}{{{}}}", base, suffix, labels);
}

}  // namespace

struct Metrics::Histogram {
  Histogram() : samples(acc::tag::extended_p_square::probabilities = kQuantiles) {}

  void Add(double sample) {
    samples(sample);
    for (std::size_t index = 0; index < kBucketBounds.size(); ++index) {
      counts.at(index) += sample <= kBucketBounds.at(index) ? 1 : 0;
    }
  }

  std::string Text(const std::string& name) const {
    std::string text;
    for (std::size_t index = 0; index < kBucketBounds.size(); ++index) {
      const std::string label = fmt::format("le=\"{}\"", kBucketBounds.at(index));
      text += fmt::format("{} {}\n", SeriesName(name, "_bucket", label), counts.at(index));
    }
    text += fmt::format("{} {}\n", SeriesName(name, "_bucket", "le=\"+Inf\""), acc::count(samples));
    text += fmt::format("{} {}\n", SeriesName(name, "_sum"), acc::sum(samples));
    text += fmt::format("{} {}\n", SeriesName(name, "_count"), acc::count(samples));
    for (const double quantile : kQuantiles) {
      const std::string label = fmt::format("quantile=\"{}\"", quantile);
      text += fmt::format("{} {}\n", SeriesName(name, "", label),
                          acc::quantile(samples, acc::quantile_probability = quantile));
    }
    text += fmt::format("{} {}\n", SeriesName(name, "_max"), acc::max(samples));
    return text;
  }

  SampleSet samples;
  /// Cumulative: the number of samples less than or equal to each bound.
  std::array<std::int64_t, kBucketBounds.size()> counts{};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Increment(const std::string& name, std::int64_t amount) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_counters[name] += amount;
}

void Metrics::SetGauge(const std::string& name, double value) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_gauges[name] = value;
}

void Metrics::Observe(const std::string& name, double sample) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::unique_ptr<Histogram>& histogram = m_histograms[name];
  if (histogram == nullptr) {
    histogram = std::make_unique<Histogram>();
  }
  histogram->Add(sample);
}

std::int64_t Metrics::counter(const std::string& name) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_counters.find(name);
  return found == m_counters.end() ? 0 : found->second;
}

std::string Metrics::Text() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::string text;
  for (const auto& [name, value] : m_counters) {
    text += fmt::format("{} {}\n", name, value);
  }
  for (const auto& [name, value] : m_gauges) {
    text += fmt::format("{} {}\n", name, value);
  }
  for (const auto& [name, histogram] : m_histograms) {
    text += histogram->Text(name);
  }
  return text;
}

}  // namespace papayalift
