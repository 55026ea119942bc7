#include "libraries/leader/run_progress.h"

#include <algorithm>

namespace papayalift {

namespace {

constexpr int kFullPercent = 100;
/// A gang makes no progress until all its members have started, which may take this long.
constexpr Milliseconds kGangStartAllowance{3'200};
constexpr Milliseconds kStallTimeout{2'500};
constexpr Milliseconds kMinObservation{1'500};

}  // namespace

void RecordProgress(TrackedRun& run, int percent, Milliseconds now) {
  run.running_since = run.running_since.value_or(now);
  if (!run.initial_percent.has_value()) {
    run.initial_percent = percent;
    run.initial_percent_at = now;
    run.last_progress_at = now;
  }
  if (percent > run.percent) {
    run.percent = percent;
    run.last_progress_at = now;
  }
}

std::optional<double> MeasureSpeed(const TrackedRun& run, const StepSpec& step, Milliseconds now) {
  if (!run.initial_percent.has_value() || now - run.initial_percent_at < kMinObservation) {
    return std::nullopt;
  }
  const double done = static_cast<double>(run.percent - *run.initial_percent) / kFullPercent;
  const double expected = static_cast<double>((now - run.initial_percent_at).count()) /
                          std::max(1.0, static_cast<double>(step.estimate.count()));
  return expected <= 0 ? std::optional<double>() : done / expected;
}

ProgressStatus CheckProgress(const TrackedRun& run, const StepSpec& step, Milliseconds now) {
  if (!run.running_since.has_value() || !run.initial_percent.has_value() ||
      run.percent >= kFullPercent) {
    return ProgressStatus::kProgressing;
  }
  const Milliseconds start_allowance =
      step.kind == WorkStepKind::kGang ? kGangStartAllowance : Milliseconds(0);
  if (now - *run.running_since < start_allowance + kStallTimeout) {
    return ProgressStatus::kProgressing;
  }
  if (now - run.last_progress_at >= kStallTimeout) {
    return ProgressStatus::kStalled;
  }
  return ProgressStatus::kProgressing;
}

}  // namespace papayalift
