#include "libraries/log/json_log_sink.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

#include "libraries/log/log_severity.h"

namespace papayalift {

void InstallJsonLogSink(LogLevel least) {
  boost::log::add_console_log(std::cerr,
                              boost::log::keywords::format = boost::log::expressions::stream
                                                             << boost::log::expressions::smessage,
                              boost::log::keywords::auto_flush = true);
  boost::log::core::get()->set_filter(boost::log::trivial::severity >= SeverityOf(least));
}

}  // namespace papayalift
