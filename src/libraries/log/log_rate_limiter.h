/// Limits the rate of log lines, with one token bucket for each kind of line.
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

  /// Returns whether one more line of `kind` may be written at `now`, and counts the line.
  bool Admit(const std::string& kind, Milliseconds now);

  struct SuppressedLines {
    std::string kind;
    std::int64_t lines = 0;
  };

  /// Returns a kind with suppressed lines and resets its count; an empty kind if there is none.
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
