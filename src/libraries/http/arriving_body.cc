#include "libraries/http/arriving_body.h"

#include <utility>

namespace papayalift {

namespace {

/// A refused body is read up to this multiple of the size limit, so that the client reliably gets
/// the response.
constexpr std::uint64_t kReadLimitMultiple = 4;
constexpr std::uint64_t kMillisecondsPerSecond = 1'000;

}  // namespace

ArrivingBody::ArrivingBody(BodyBudget& budget, const void* server, std::size_t max_bytes,
                           std::function<void()> close)
    : m_budget(budget),
      m_server(server),
      m_max_bytes(max_bytes),
      m_close(std::move(close)),
      m_began_at(budget.m_clock.Now()),
      m_window_began_at(m_began_at) {
  const std::lock_guard<std::mutex> lock(m_budget.m_mutex);
  m_budget.m_bodies.insert(this);
}

ArrivingBody::~ArrivingBody() {
  const std::lock_guard<std::mutex> lock(m_budget.m_mutex);
  m_budget.SetOccupied(*this, 0);
  m_budget.m_bodies.erase(this);
}

BodyVerdict ArrivingBody::Announce(std::uint64_t bytes) {
  const std::lock_guard<std::mutex> lock(m_budget.m_mutex);
  if (bytes > m_max_bytes) {
    Refuse(BodyVerdict::kTooLarge);
  }
  return bytes > MaxReadBytes() ? BodyVerdict::kClose : m_verdict;
}

BodyVerdict ArrivingBody::Append(std::string_view bytes) {
  const std::lock_guard<std::mutex> lock(m_budget.m_mutex);
  m_received_bytes += bytes.size();
  if (m_verdict == BodyVerdict::kKept && m_received_bytes > m_max_bytes) {
    Refuse(BodyVerdict::kTooLarge);
  }
  if (m_verdict == BodyVerdict::kKept) {
    const bool fits = m_budget.Occupy(*this, PageBuffer::ResidentBytes(m_received_bytes)) &&
                      m_bytes.Append(bytes);
    if (!fits) {
      Refuse(BodyVerdict::kOverBudget);
    }
  }
  if (m_verdict != BodyVerdict::kClose && m_received_bytes > MaxReadBytes()) {
    m_verdict = BodyVerdict::kClose;
    ++m_budget.m_stats.flooding;
  }
  return m_verdict;
}

BodyVerdict ArrivingBody::Complete(std::string& body) {
  const std::lock_guard<std::mutex> lock(m_budget.m_mutex);
  m_complete = true;
  if (m_verdict == BodyVerdict::kKept) {
    body = m_bytes.view();
  }
  m_bytes.Release();
  return m_verdict;
}

void ArrivingBody::Refuse(BodyVerdict verdict) {
  m_verdict = verdict;
  m_bytes.Release();
  m_budget.SetOccupied(*this, 0);
  ++(verdict == BodyVerdict::kTooLarge ? m_budget.m_stats.too_large : m_budget.m_stats.over_budget);
}

void ArrivingBody::Close() {
  m_verdict = BodyVerdict::kClose;
  m_bytes.Release();
  m_budget.SetOccupied(*this, 0);
  m_close();
}

double ArrivingBody::CostAt(Milliseconds now, std::size_t occupied_bytes) const {
  return static_cast<double>(occupied_bytes) * static_cast<double>((now - m_began_at).count() + 1);
}

bool ArrivingBody::IsSlow(Milliseconds now, const BodyBudgetLimits& limits) {
  const bool is_due = now - m_window_began_at >= limits.headway_window;
  if (m_complete || m_verdict == BodyVerdict::kClose || !is_due) {
    return false;
  }
  const std::uint64_t required_bytes = limits.min_bytes_per_second *
                                       static_cast<std::uint64_t>(limits.headway_window.count()) /
                                       kMillisecondsPerSecond;
  const bool is_slow = m_received_bytes - m_bytes_at_window_start < required_bytes;
  BeginWindow(now);
  return is_slow;
}

void ArrivingBody::BeginWindow(Milliseconds now) {
  m_window_began_at = now;
  m_bytes_at_window_start = m_received_bytes;
}

std::uint64_t ArrivingBody::MaxReadBytes() const { return kReadLimitMultiple * m_max_bytes; }

}  // namespace papayalift
