/// Jobs that no capacity of the bundle could ever hold.
#pragma once

#include <optional>
#include <string>

#include "libraries/model/bundle.h"
#include "libraries/model/job_spec.h"

namespace papayalift {

/// Why a job can never run under `bundle`, with all zones in and nothing else running; nothing
/// where it can.
std::optional<std::string> InfeasibilityReason(const JobSpec& spec, const Bundle& bundle);

}  // namespace papayalift
