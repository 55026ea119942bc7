#include "libraries/log/log_event.h"

#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "libraries/base/boot_clock.h"
#include "libraries/log/log_severity.h"

namespace papayalift {

namespace {

/// Limits for each kind of line.
constexpr double kLinesPerSecond = 100;
constexpr double kBurstLines = 300;

struct SharedRateLimiter {
  std::mutex mutex;
  std::unique_ptr<LogRateLimiter> limiter;
};

SharedRateLimiter& GlobalRateLimiter() {
  static SharedRateLimiter shared;
  return shared;
}

bool IsAdmitted(const std::string& kind) {
  SharedRateLimiter& shared = GlobalRateLimiter();
  const std::lock_guard<std::mutex> lock(shared.mutex);
  return shared.limiter == nullptr || shared.limiter->Admit(kind, BootClock().Now());
}

}  // namespace

void LogEvent::EnableRateLimit() {
  SharedRateLimiter& shared = GlobalRateLimiter();
  const std::lock_guard<std::mutex> lock(shared.mutex);
  shared.limiter = std::make_unique<LogRateLimiter>(kLinesPerSecond, kBurstLines);
}

LogRateLimiter::SuppressedLines LogEvent::TakeSuppressed() {
  SharedRateLimiter& shared = GlobalRateLimiter();
  const std::lock_guard<std::mutex> lock(shared.mutex);
  return shared.limiter == nullptr ? LogRateLimiter::SuppressedLines()
                                   : shared.limiter->TakeSuppressed();
}

LogEvent::LogEvent(LogLevel level, std::string component, std::string message)
    : m_level(level), m_component(std::move(component)), m_message(std::move(message)) {}

LogEvent& LogEvent::Job(const JobId& job) { return Field("job", job.text()); }

LogEvent& LogEvent::Attempt(const AttemptId& attempt) { return Field("attempt", attempt.text()); }

LogEvent& LogEvent::Zone(const ZoneId& zone) { return Field("zone", zone.text()); }

LogEvent& LogEvent::Version(BundleVersion version) {
  return Field("bundle_version", version.value());
}

LogEvent& LogEvent::Reason(const std::string& reason) { return Field("reason", reason); }

LogEvent& LogEvent::Field(const std::string& key, const std::string& value) {
  m_texts.push_back(TextField{key, value});
  return *this;
}

LogEvent& LogEvent::Field(const std::string& key, std::int64_t value) {
  m_numbers.push_back(NumberField{key, value});
  return *this;
}

void LogEvent::Write() const {
  if (!IsAdmitted(m_component + ": " + m_message)) {
    return;
  }
  const boost::log::trivial::severity_level severity = SeverityOf(m_level);
  nlohmann::ordered_json line;
  line["time_ms"] = BootClock().WallNow().count();
  line["level"] = boost::log::trivial::to_string(severity);
  line["component"] = m_component;
  line["message"] = m_message;
  for (const TextField& field : m_texts) {
    line[field.key] = field.value;
  }
  for (const NumberField& field : m_numbers) {
    line[field.key] = field.value;
  }
  constexpr int kOneLine = -1;
  BOOST_LOG_SEV(boost::log::trivial::logger::get(), severity)
      << line.dump(kOneLine, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace papayalift
