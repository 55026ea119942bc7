#include "libraries/http/body_budget_report.h"

#include <fmt/format.h>

#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

constexpr Milliseconds kMinLogInterval{1'000};

struct Reason {
  const char* name;
  std::int64_t BodyBudgetStats::*count;
};
constexpr Reason kReasons[] = {{"too_large", &BodyBudgetStats::too_large},
                               {"over_budget", &BodyBudgetStats::over_budget},
                               {"evicted", &BodyBudgetStats::evicted},
                               {"too_slow", &BodyBudgetStats::too_slow},
                               {"flooding", &BodyBudgetStats::flooding}};

}  // namespace

void BodyBudgetReport::Update() {
  const BodyBudgetStats stats = m_budget.stats();
  m_metrics.SetGauge("papayalift_body_bytes_held", static_cast<double>(stats.held_bytes));
  for (const Reason& reason : kReasons) {
    m_metrics.SetGauge(fmt::format("papayalift_bodies_refused_total{{reason=\"{}\"}}", reason.name),
                       static_cast<double>(stats.*reason.count));
  }
  if (m_clock.Now() - m_logged_at >= kMinLogInterval) {
    Log(stats);
    m_logged = stats;
    m_logged_at = m_clock.Now();
  }
}

void BodyBudgetReport::Log(const BodyBudgetStats& stats) const {
  LogEvent event(LogLevel::kWarning, "http", "request bodies were refused");
  bool is_new = false;
  for (const Reason& reason : kReasons) {
    const std::int64_t count = stats.*reason.count - m_logged.*reason.count;
    is_new = is_new || count > 0;
    event.Field(reason.name, count);
  }
  if (is_new) {
    event.Field("bytes_held", static_cast<std::int64_t>(stats.held_bytes)).Write();
  }
}

}  // namespace papayalift
