#include "libraries/http/connection_reuse_policy.h"

#include <algorithm>

namespace papayalift {

namespace {

constexpr std::chrono::seconds kMaxIdle{10};
constexpr Milliseconds kWindow{1'000};
/// Fewer silent calls say nothing about the group.
constexpr int kMinSilentCalls = 3;

}  // namespace

void ConnectionReusePolicy::StartWindowIfOver() {
  if (m_clock.Now() - m_window_began_at > kWindow) {
    m_window_began_at = m_clock.Now();
    m_answered = 0;
    m_silent = 0;
  }
}

void ConnectionReusePolicy::RecordAnswer(const std::string& /*peer*/, ConnectionOrigin origin) {
  StartWindowIfOver();
  m_answered += origin == ConnectionOrigin::kKept ? 1 : 0;
}

void ConnectionReusePolicy::RecordSilence(const std::string& peer, ConnectionOrigin origin) {
  const Milliseconds now = m_clock.Now();
  StartWindowIfOver();
  std::erase_if(m_silent_at, [now](const auto& entry) { return now - entry.second > kMaxIdle; });
  m_silent_at[peer] = now;
  m_silent += origin == ConnectionOrigin::kKept ? 1 : 0;
  if (m_silent >= kMinSilentCalls && m_silent > m_answered) {
    m_group_silent_at = now;
  }
}

std::chrono::seconds ConnectionReusePolicy::MaxIdle(const std::string& peer) const {
  const auto found = m_silent_at.find(peer);
  const Milliseconds silent_at =
      found == m_silent_at.end() ? m_group_silent_at : std::max(found->second, m_group_silent_at);
  return std::min(kMaxIdle,
                  std::chrono::duration_cast<std::chrono::seconds>(m_clock.Now() - silent_at));
}

}  // namespace papayalift
