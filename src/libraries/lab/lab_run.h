/// Simulates a scenario under a named policy of the decision library.
#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/lab/run_report.h"
#include "libraries/lab/scenario.h"

namespace papayalift {

/// Returns kNotFound for an unknown policy.
absl::StatusOr<RunReport> RunPolicy(const Scenario& scenario, const std::string& policy_name,
                                    std::uint64_t seed);

}  // namespace papayalift
