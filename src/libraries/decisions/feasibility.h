/// Detects jobs that can never run under a bundle.
#pragma once

#include <optional>
#include <string>

#include "libraries/model/bundle.h"
#include "libraries/model/job_spec.h"

namespace papayalift {

/// Why a job can never run under `bundle`, even with all zones in and nothing else running; nullopt
/// if it can.
std::optional<std::string> InfeasibilityReason(const JobSpec& spec, const Bundle& bundle);

}  // namespace papayalift
