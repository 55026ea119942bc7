/// Compares the answers to consumers with the records of minions.
#pragma once

#include <string>
#include <vector>

#include "libraries/soak/soak_job.h"

namespace papayalift {

/// Whether checks with time bounds, which depend on the machine's speed, are made.
enum class SoakBounds { kTimed, kUntimed };

/// Returns how a newly reported state contradicts the job's history; empty if it does not.
std::string CheckReportedState(const SoakJob& job, const std::string& state);

/// Of all jobs that nobody cancelled.
Milliseconds LongestStandstill(const std::vector<SoakJob>& jobs,
                               const std::vector<SoakJobRecord>& records);

/// Describes the broken promises. Call after the faults are over and the jobs had time to end.
std::vector<std::string> CheckSoakEnd(const std::vector<SoakJob>& jobs,
                                      const std::vector<SoakJobRecord>& records, SoakBounds bounds);

}  // namespace papayalift
