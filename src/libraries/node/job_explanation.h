/// Why a job waits, why it sits where it sits, or what it was stopped for, in a sentence.
#pragma once

#include <optional>
#include <string>

#include "libraries/decisions/decision.h"
#include "libraries/model/job_record.h"
#include "libraries/model/placement_record.h"

namespace papayalift {

/// `placement` is null where the job has none; `wait` is what the last pass said of it.
std::string ExplanationOf(const JobRecord& job, const PlacementRecord* placement,
                          const std::optional<WaitDecision>& wait);

}  // namespace papayalift
