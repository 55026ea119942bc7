#include "libraries/log/json_log_sink.h"

#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <iostream>

#include "libraries/log/log_severity.h"

namespace papayalift {

namespace {

class BufferBackend final
    : public boost::log::sinks::basic_sink_backend<boost::log::sinks::synchronized_feeding> {
 public:
  explicit BufferBackend(LogBuffer& buffer) : m_buffer(buffer) {}

  void consume(const boost::log::record_view& record) {  // NOLINT(readability-identifier-naming)
    const auto message = record[boost::log::expressions::smessage];
    if (message) {
      m_buffer.Append(*message);
    }
  }

 private:
  LogBuffer& m_buffer;
};

}  // namespace

void InstallBufferedLogSink(LogLevel min_level, LogBuffer& buffer) {
  boost::log::core::get()->add_sink(
      boost::make_shared<boost::log::sinks::synchronous_sink<BufferBackend>>(
          boost::make_shared<BufferBackend>(buffer)));
  boost::log::core::get()->set_filter(boost::log::trivial::severity >= SeverityOf(min_level));
  LogEvent::EnableRateLimit();
}

void DisableLogging() { boost::log::core::get()->set_logging_enabled(false); }

void WriteSuppressedLines() {
  for (LogRateLimiter::SuppressedLines suppressed = LogEvent::TakeSuppressed();
       !suppressed.kind.empty(); suppressed = LogEvent::TakeSuppressed()) {
    LogEvent(LogLevel::kWarning, "log", "lines left out")
        .Field("kind", suppressed.kind)
        .Field("lines", suppressed.lines)
        .Write();
  }
}

void InstallJsonLogSink(LogLevel min_level) {
  boost::log::add_console_log(std::cerr,
                              boost::log::keywords::format = boost::log::expressions::stream
                                                             << boost::log::expressions::smessage,
                              boost::log::keywords::auto_flush = true);
  boost::log::core::get()->set_filter(boost::log::trivial::severity >= SeverityOf(min_level));
}

}  // namespace papayalift
