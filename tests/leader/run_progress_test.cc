#include "libraries/leader/run_progress.h"

#include <criterion/criterion.h>

namespace papayalift {

namespace {

constexpr Milliseconds kEstimate{8'000};

struct ProgressFixture {
  explicit ProgressFixture(WorkStepKind kind = WorkStepKind::kIndependentTasks) {
    step.kind = kind;
    step.estimate = kEstimate;
    run.running_since = Milliseconds(0);
  }

  ProgressStatus ReportAt(int milliseconds, int percent) {
    RecordProgress(run, percent, Milliseconds(milliseconds));
    return CheckProgress(run, step, Milliseconds(milliseconds));
  }

  StepSpec step;
  TrackedRun run;
};

}  // namespace

Test(run_progress, steady_run_is_progressing) {
  ProgressFixture fixture;
  for (int second = 0; second <= 8; second += 2) {
    cr_assert(fixture.ReportAt(second * 1'000, second * 12) == ProgressStatus::kProgressing);
  }
}

Test(run_progress, run_without_progress_is_stalled) {
  ProgressFixture fixture;
  fixture.ReportAt(0, 0);
  fixture.ReportAt(2'000, 20);
  cr_assert(fixture.ReportAt(4'000, 20) == ProgressStatus::kProgressing);
  cr_assert(fixture.ReportAt(6'000, 20) == ProgressStatus::kStalled);
}

Test(run_progress, gang_that_is_still_starting_is_progressing) {
  ProgressFixture fixture(WorkStepKind::kGang);
  fixture.ReportAt(0, 0);
  cr_assert(fixture.ReportAt(4'000, 0) == ProgressStatus::kProgressing);
  cr_assert(fixture.ReportAt(6'000, 0) == ProgressStatus::kStalled);
}

Test(run_progress, run_twice_as_long_as_estimated_is_progressing) {
  ProgressFixture fixture;
  for (int second = 0; second <= 16; second += 2) {
    cr_assert(fixture.ReportAt(second * 1'000, second * 6) == ProgressStatus::kProgressing);
  }
}

Test(run_progress, run_from_a_checkpoint_has_speed_measured_from_there) {
  ProgressFixture fixture;
  fixture.ReportAt(0, 60);
  fixture.ReportAt(2'000, 85);
  const std::optional<double> speed = MeasureSpeed(fixture.run, fixture.step, Milliseconds(2'000));
  cr_assert(speed.has_value());
  cr_assert_float_eq(*speed, 1.0, 0.01);
}

}  // namespace papayalift
