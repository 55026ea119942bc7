/// Runs a policy of the decision library, by name, through a scenario.
#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/lab/run_report.h"
#include "libraries/lab/scenario.h"

namespace papayalift {

/// kNotFound where there is no such policy.
absl::StatusOr<RunReport> RunPolicy(const Scenario& scenario, const std::string& policy_name,
                                    std::uint64_t seed);

}  // namespace papayalift
