/// Compares what consumers were told with what minions saw.
#pragma once

#include <string>
#include <vector>

#include "libraries/soak/soak_job.h"

namespace papayalift {

/// Whether a check depends on how fast this machine is.
enum class SoakBounds { kTimed, kUntimed };

/// What a new answer to a question after the job's state says that it must not, given the earlier
/// ones; empty where nothing is wrong.
std::string CheckReportedState(const SoakJob& job, const std::string& state);

/// The promises that were broken, in words, once the faults are over and the jobs had time to end.
std::vector<std::string> CheckSoakEnd(const std::vector<SoakJob>& jobs,
                                      const std::vector<SoakJobRecord>& records, SoakBounds bounds);

}  // namespace papayalift
