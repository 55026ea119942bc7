/// Detects stalled runs and measures their speed from the percentages they report.
#pragma once

#include <optional>

#include "libraries/leader/leader_state.h"
#include "libraries/work/work_spec.h"

namespace papayalift {

enum class ProgressStatus {
  kProgressing,
  /// The percentage has not risen for far longer than it takes to.
  kStalled,
};

/// Records the percentage that a report received at `now` shows for the run.
void RecordProgress(TrackedRun& run, int percent, Milliseconds now);

/// `former_stalls` is how often the task was given up as stalled before.
ProgressStatus CheckProgress(const TrackedRun& run, const StepSpec& step, int former_stalls,
                             Milliseconds now);

/// Speed of the run relative to the step's estimate, 1 being as estimated; empty if the run was
/// observed for too short a time, measured by the estimate.
std::optional<double> MeasureSpeed(const TrackedRun& run, const StepSpec& step, Milliseconds now);

/// Whether the run's percentages show a rate, by which its end can be told.
bool ShowsRate(const TrackedRun& run);

/// The time until the run is expected to end, by the rate that it has shown or else its step's
/// estimate. A run past its estimate is expected to take as long again as it is late.
Milliseconds EstimateRemaining(const TrackedRun& run, const StepSpec& step, Milliseconds now);

}  // namespace papayalift
