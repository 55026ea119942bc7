/// Explains to callers the state of a job.
#pragma once

#include <optional>
#include <string>

#include "libraries/decisions/decision.h"
#include "libraries/model/job_record.h"
#include "libraries/model/placement_record.h"

namespace papayalift {

/// Returns one sentence on why a job waits, where it is placed, or why it was stopped. `placement`
/// is null where the job has none; `wait` is the decision of the last pass.
std::string ExplanationOf(const JobRecord& job, const PlacementRecord* placement,
                          const std::optional<WaitDecision>& wait);

}  // namespace papayalift
