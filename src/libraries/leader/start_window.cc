#include "libraries/leader/start_window.h"

#include <algorithm>

#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// A process whose work runs later than this is behind.
constexpr Milliseconds kMaxLateness{250};
/// It has caught up once it is less late than this.
constexpr Milliseconds kCaughtUpLateness{100};
/// What a smaller window brings shows after this time.
constexpr Milliseconds kShrinkInterval{500};
constexpr std::int64_t kMinSize = 32;
/// By which it grows in each pass beyond the size that is known to be safe.
constexpr std::int64_t kSlowGrowth = 4;
/// While behind, each pass starts no more tasks of one step than this, so that each job gets a
/// turn.
constexpr std::int64_t kTasksPerStepWhileBehind = 4;
/// Jobs within their guarantee may start this many tasks in each pass, whatever is out.
constexpr std::int64_t kMinGuaranteedStarts = 16;

}  // namespace

void StartWindow::Update(std::int64_t out, Milliseconds lateness, Milliseconds now) {
  if (lateness > kMaxLateness) {
    Shrink(out, lateness, now);
    return;
  }
  if (m_is_behind && lateness < kCaughtUpLateness) {
    m_is_behind = false;
    LogChange("the leader has caught up", out, lateness);
  }
  if (!m_is_behind && has_held_back()) {
    Grow();
  }
}

void StartWindow::Grow() {
  m_size = m_size < m_safe_size ? std::min(m_safe_size, m_size * 2)
                                : std::min(kMaxSize, m_size + kSlowGrowth);
}

void StartWindow::Shrink(std::int64_t out, Milliseconds lateness, Milliseconds now) {
  if (now < m_next_shrink_at) {
    return;
  }
  m_next_shrink_at = now + std::max(kShrinkInterval, lateness);
  m_size = std::max(kMinSize, m_size / 2);
  m_safe_size = m_size;
  if (!m_is_behind) {
    m_is_behind = true;
    LogChange("the leader is behind and starts less", out, lateness);
  }
}

StartAllowance StartWindow::AllowanceFor(std::int64_t out) const {
  StartAllowance allowance;
  allowance.tasks = std::max(std::int64_t{0}, m_size - out);
  allowance.guaranteed_tasks = std::max(kMinGuaranteedStarts, 2 * m_size - out);
  if (m_is_behind) {
    allowance.tasks_per_step = kTasksPerStepWhileBehind;
  }
  return allowance;
}

void StartWindow::LogChange(const char* message, std::int64_t out, Milliseconds lateness) const {
  LogEvent(LogLevel::kInfo, "leader", message)
      .Field("late_ms", lateness.count())
      .Field("starts_out", out)
      .Field("start_window", m_size)
      .Write();
}

}  // namespace papayalift
