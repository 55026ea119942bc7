/// Encodes run reports as JSON.
#pragma once

#include <string>

#include "libraries/lab/run_report.h"

namespace papayalift {

/// Indented. Wall-clock measurements are under "wall_clock"; everything else is deterministic for a
/// scenario, seed and policy.
std::string EncodeRunReport(const RunReport& report);

}  // namespace papayalift
