/// The longest chains of work that remain of a job. Takes time in proportion to its steps and their
/// dependencies.
#pragma once

#include <vector>

#include "libraries/base/units.h"
#include "libraries/work/work_spec.h"

namespace papayalift {

/// For each step the estimated time from its start until all steps that depend on it, directly or
/// not, have ended. Steps that are done take no time; `is_done` has an entry for each step.
std::vector<Milliseconds> RemainingPaths(const std::vector<StepSpec>& steps,
                                         const std::vector<bool>& is_done);

/// The steps with the duration in place of all estimates.
std::vector<StepSpec> WithDurations(std::vector<StepSpec> steps, Milliseconds duration);

/// The longest of these paths of a job of which nothing is done.
Milliseconds TotalCriticalPath(const std::vector<StepSpec>& steps);

}  // namespace papayalift
