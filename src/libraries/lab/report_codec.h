/// Run reports as JSON.
#pragma once

#include <string>

#include "libraries/lab/run_report.h"

namespace papayalift {

/// Indented. What the wall clock measured stands under "wall_clock", all else is the same for the
/// same scenario, seed and policy.
std::string EncodeRunReport(const RunReport& report);

}  // namespace papayalift
