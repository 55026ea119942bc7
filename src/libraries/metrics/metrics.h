/// Counters, gauges, histograms and quantiles of one process, as Prometheus text.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace papayalift {

/// Thread-safe. Names follow "papayalift_<what>_<unit>"; labels may follow in braces.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Increment(const std::string& name, std::int64_t amount = 1);
  void SetGauge(const std::string& name, double value);
  /// Adds a sample to the histogram and the quantiles of `name`.
  void Observe(const std::string& name, double sample);

  std::int64_t counter(const std::string& name) const;

  /// One "name value" per line, in the Prometheus text format. A histogram's series are
  /// "<name>_bucket" with the upper bound as label "le", "<name>_sum" and "<name>_count"; its
  /// quantiles and largest sample are "<name>" with label "quantile" and "<name>_max".
  std::string Text() const;

 private:
  struct Histogram;

  mutable std::mutex m_mutex;
  std::map<std::string, std::int64_t> m_counters;
  std::map<std::string, double> m_gauges;
  std::map<std::string, std::unique_ptr<Histogram>> m_histograms;
};

}  // namespace papayalift
