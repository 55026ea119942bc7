#include "libraries/leader/run_progress.h"

#include <algorithm>

namespace papayalift {

namespace {

constexpr int kWholePercent = 100;
/// The members of a gang begin once all are there, which may take this long.
constexpr Milliseconds kGangGathers{3'200};
constexpr Milliseconds kLeastStall{2'500};
constexpr Milliseconds kLeastObserved{1'500};

}  // namespace

void NoteProgress(TrackedRun& run, int percent, Milliseconds now) {
  run.running_since = run.running_since.value_or(now);
  if (!run.first_percent.has_value()) {
    run.first_percent = percent;
    run.first_percent_at = now;
    run.progressed_at = now;
  }
  if (percent > run.percent) {
    run.percent = percent;
    run.progressed_at = now;
  }
}

std::optional<double> MeasuredSpeed(const TrackedRun& run, const StepSpec& step, Milliseconds now) {
  if (!run.first_percent.has_value() || now - run.first_percent_at < kLeastObserved) {
    return std::nullopt;
  }
  const double done = static_cast<double>(run.percent - *run.first_percent) / kWholePercent;
  const double expected = static_cast<double>((now - run.first_percent_at).count()) /
                          std::max(1.0, static_cast<double>(step.estimate.count()));
  return expected <= 0 ? std::optional<double>() : done / expected;
}

ProgressVerdict JudgeProgress(const TrackedRun& run, const StepSpec& step, Milliseconds now) {
  if (!run.running_since.has_value() || !run.first_percent.has_value() ||
      run.percent >= kWholePercent) {
    return ProgressVerdict::kFine;
  }
  const Milliseconds gathers = step.kind == WorkStepKind::kGang ? kGangGathers : Milliseconds(0);
  if (now - *run.running_since < gathers + kLeastStall) {
    return ProgressVerdict::kFine;
  }
  if (now - run.progressed_at >= kLeastStall) {
    return ProgressVerdict::kStalled;
  }
  return ProgressVerdict::kFine;
}

}  // namespace papayalift
