/// Our log levels as Boost.Log's. Include only from .cc files: its headers are slow to compile.
#pragma once

#include <boost/log/trivial.hpp>

#include "libraries/log/log_event.h"

namespace papayalift {

boost::log::trivial::severity_level SeverityOf(LogLevel level);

}  // namespace papayalift
