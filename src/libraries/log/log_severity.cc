#include "libraries/log/log_severity.h"

namespace papayalift {

boost::log::trivial::severity_level SeverityOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return boost::log::trivial::debug;
    case LogLevel::kInfo:
      return boost::log::trivial::info;
    case LogLevel::kWarning:
      return boost::log::trivial::warning;
    case LogLevel::kError:
      return boost::log::trivial::error;
  }
  return boost::log::trivial::error;
}

}  // namespace papayalift
