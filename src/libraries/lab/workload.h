/// Generates the jobs of a run, independently of the policy.
#pragma once

#include <cstdint>
#include <vector>

#include "libraries/lab/lab_job.h"
#include "libraries/lab/scenario.h"

namespace papayalift {

/// In the order of submission. Deterministic for a scenario and seed.
std::vector<LabJob> GenerateJobs(const Scenario& scenario, std::uint64_t seed);

}  // namespace papayalift
