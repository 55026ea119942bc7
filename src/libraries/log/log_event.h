/// One structured log line: LogEvent(LogLevel::kInfo, "scheduler", "gang started").Job(id).Write();
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/log/log_rate_limiter.h"

namespace papayalift {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

class LogEvent {
 public:
  LogEvent(LogLevel level, std::string component, std::string message);

  LogEvent& Job(const JobId& job);
  LogEvent& Attempt(const AttemptId& attempt);
  LogEvent& Zone(const ZoneId& zone);
  LogEvent& Version(BundleVersion version);
  LogEvent& Reason(const std::string& reason);
  LogEvent& Field(const std::string& key, const std::string& value);
  LogEvent& Field(const std::string& key, std::int64_t value);

  void Write() const;

  /// Limits the rate of each kind of line (component and message) and counts those suppressed.
  static void EnableRateLimit();
  /// See LogRateLimiter::TakeSuppressed().
  static LogRateLimiter::SuppressedLines TakeSuppressed();

 private:
  struct TextField {
    std::string key;
    std::string value;
  };
  struct NumberField {
    std::string key;
    std::int64_t value;
  };

  LogLevel m_level;
  std::string m_component;
  std::string m_message;
  std::vector<TextField> m_texts;
  std::vector<NumberField> m_numbers;
};

}  // namespace papayalift
