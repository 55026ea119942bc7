#include "libraries/log/log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace papayalift {

bool LogRateLimiter::Admit(const std::string& kind, Milliseconds now) {
  constexpr double kMillisecondsPerSecond = 1'000;
  const auto [found, is_new] = m_buckets.try_emplace(kind, Bucket{m_burst, now, 0});
  Bucket& bucket = found->second;
  const double elapsed_seconds =
      static_cast<double>((now - bucket.refilled_at).count()) / kMillisecondsPerSecond;
  bucket.tokens =
      std::min(m_burst, bucket.tokens + std::max(0.0, elapsed_seconds) * m_lines_per_second);
  bucket.refilled_at = now;
  if (bucket.tokens < 1) {
    ++bucket.suppressed;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

LogRateLimiter::SuppressedLines LogRateLimiter::TakeSuppressed() {
  for (auto& [kind, bucket] : m_buckets) {
    if (bucket.suppressed > 0) {
      return SuppressedLines{kind, std::exchange(bucket.suppressed, 0)};
    }
  }
  return {};
}

}  // namespace papayalift
