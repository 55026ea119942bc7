/// Generates the jobs of a run: the same for every policy.
#pragma once

#include <cstdint>
#include <vector>

#include "libraries/lab/lab_job.h"
#include "libraries/lab/scenario.h"

namespace papayalift {

/// In the order of submission. The same scenario and seed always give the same jobs.
std::vector<LabJob> GenerateJobs(const Scenario& scenario, std::uint64_t seed);

}  // namespace papayalift
