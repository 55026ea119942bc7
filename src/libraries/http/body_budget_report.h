/// Exports the state of a body budget as metrics and log lines.
#pragma once

#include "libraries/http/body_budget.h"
#include "libraries/metrics/metrics.h"

namespace papayalift {

/// Not thread-safe.
class BodyBudgetReport {
 public:
  BodyBudgetReport(const Clock& clock, const BodyBudget& budget, Metrics& metrics)
      : m_clock(clock), m_budget(budget), m_metrics(metrics) {}

  /// Sets the metrics. Logs what was refused or closed since the last line, at most once a second.
  void Update();

 private:
  void Log(const BodyBudgetStats& stats) const;

  const Clock& m_clock;
  const BodyBudget& m_budget;
  Metrics& m_metrics;
  BodyBudgetStats m_logged;
  Milliseconds m_logged_at{0};
};

}  // namespace papayalift
