#include "libraries/leader/run_progress.h"

#include <algorithm>

namespace papayalift {

namespace {

constexpr int kFullPercent = 100;
/// A gang makes no progress until all its members have started, which may take this long.
constexpr Milliseconds kGangStartAllowance{3'200};
constexpr Milliseconds kMinStallTimeout{2'500};
/// A run that stands still is given up after a tenth of its length: this many times as long as it
/// takes for a percent on average. Minions become up to eight times slower while they work.
constexpr int kStallTimeoutInPercents = 10;
/// Percentages are whole numbers, so fewer show no rate.
constexpr int kMinPercentsOfRate = 2;
/// Until a run has shown a rate, it is given up after a third of its estimate. With an estimate
/// that is ten times too low, a percent on a minion of a third of the usual speed takes nearly as
/// long.
constexpr int kEstimatePerFirstTimeout = 3;
/// Each time that a task was given up doubles the time allowed for it, at most this often: its
/// estimate may be far too low.
constexpr int kMaxTimeoutDoublings = 12;
constexpr int kMinPercentsOfForecast = 10;
constexpr Milliseconds kMinObservation{1'500};
/// Share of the estimate for which a run must be observed, as percentages are whole numbers.
constexpr double kMinObservedShare = 0.1;

/// How long the percentage may stay the same; nullopt if too little is known of the run.
std::optional<Milliseconds> StallTimeout(const TrackedRun& run, const StepSpec& step) {
  const int percents = run.percent - *run.initial_percent;
  if (percents >= kMinPercentsOfRate) {
    // NOTE: the first percent may have been nearly complete when it was first reported.
    const Milliseconds per_percent =
        (run.last_progress_at - run.initial_percent_at) / (percents - 1);
    return std::max(kMinStallTimeout, per_percent * kStallTimeoutInPercents);
  }
  if (step.estimate.count() == 0) {
    return std::nullopt;
  }
  return std::max(kMinStallTimeout, step.estimate / kEstimatePerFirstTimeout);
}

}  // namespace

void RecordProgress(TrackedRun& run, int percent, Milliseconds now) {
  run.running_since = run.running_since.value_or(now);
  run.reported_at = now;
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
  return expected < kMinObservedShare ? std::optional<double>() : done / expected;
}

bool ShowsRate(const TrackedRun& run) {
  return run.percent - run.initial_percent.value_or(run.percent) >= kMinPercentsOfForecast;
}

Milliseconds EstimateRemaining(const TrackedRun& run, const StepSpec& step, Milliseconds now) {
  if (run.stop_wanted) {
    return Milliseconds(0);
  }
  if (ShowsRate(run)) {
    const int percents = run.percent - *run.initial_percent;
    return (now - run.initial_percent_at) * (kFullPercent - run.percent) / percents;
  }
  const Milliseconds elapsed = now - run.running_since.value_or(now);
  if (elapsed >= step.estimate) {
    return elapsed - step.estimate;
  }
  // A run that a former leader has started may be nearly done.
  const Milliseconds left = step.estimate / kFullPercent * (kFullPercent - run.percent);
  return std::min(step.estimate - elapsed, left);
}

ProgressStatus CheckProgress(const TrackedRun& run, const StepSpec& step, int former_stalls,
                             Milliseconds now) {
  if (!run.running_since.has_value() || !run.initial_percent.has_value() ||
      run.percent >= kFullPercent) {
    return ProgressStatus::kProgressing;
  }
  const std::optional<Milliseconds> usual_timeout = StallTimeout(run, step);
  if (!usual_timeout.has_value()) {
    return ProgressStatus::kProgressing;
  }
  const Milliseconds timeout =
      *usual_timeout * (1 << std::clamp(former_stalls, 0, kMaxTimeoutDoublings));
  const Milliseconds start_allowance =
      step.kind == WorkStepKind::kGang ? kGangStartAllowance : Milliseconds(0);
  const bool is_stalled = now - *run.running_since >= start_allowance + timeout &&
                          now - run.last_progress_at >= timeout;
  return is_stalled ? ProgressStatus::kStalled : ProgressStatus::kProgressing;
}

}  // namespace papayalift
