/// Bounds how many lines of each kind are written.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "libraries/base/units.h"

namespace papayalift {

/// Not thread-safe.
class LogRateLimiter {
 public:
  LogRateLimiter(double lines_per_second, double burst)
      : m_lines_per_second(lines_per_second), m_burst(burst) {}

  /// Whether one more line of `kind` may be written at `now`.
  bool Admit(const std::string& kind, Milliseconds now);

  struct SuppressedLines {
    std::string kind;
    std::int64_t lines = 0;
  };

  /// A kind of which lines were left out since it was last returned here; empty kind for none.
  SuppressedLines TakeSuppressed();

 private:
  struct Bucket {
    double tokens = 0;
    Milliseconds refilled_at{0};
    std::int64_t suppressed = 0;
  };

  const double m_lines_per_second;
  const double m_burst;
  std::map<std::string, Bucket> m_buckets;
};

}  // namespace papayalift
