/// Judges from its percentages whether a run gets on.
#pragma once

#include <optional>

#include "libraries/leader/leader_state.h"
#include "libraries/work/work_spec.h"

namespace papayalift {

enum class ProgressStatus {
  kProgressing,
  /// Nothing has been done for some time.
  kStalled,
};

/// Takes what a report says of the run at `now`.
void RecordProgress(TrackedRun& run, int percent, Milliseconds now);

ProgressStatus CheckProgress(const TrackedRun& run, const StepSpec& step, Milliseconds now);

/// Work done a second against the estimate's; empty while too little was seen.
std::optional<double> MeasureSpeed(const TrackedRun& run, const StepSpec& step, Milliseconds now);

}  // namespace papayalift
