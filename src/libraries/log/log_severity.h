/// Maps LogLevel to the severity levels of Boost.Log.
///
/// Include only from .cc files: Boost.Log's headers are slow to compile.
#pragma once

#include <boost/log/trivial.hpp>

#include "libraries/log/log_event.h"

namespace papayalift {

boost::log::trivial::severity_level SeverityOf(LogLevel level);

}  // namespace papayalift
