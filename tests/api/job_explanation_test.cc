#include "libraries/node/job_explanation.h"

#include <criterion/criterion.h>

namespace papayalift {

namespace {

struct JobFixture {
  JobFixture() {
    job.id = JobId("job");
    job.reason = "zone 'a' was taken out";
    placement.zone = ZoneId("b");
    placement.tasks = {TaskPlacement{WorkerId("w1"), AcceleratorSet(1)},
                       TaskPlacement{WorkerId("w1"), AcceleratorSet(2)},
                       TaskPlacement{WorkerId("w2"), AcceleratorSet(1)}};
    wait = WaitDecision{job.id, WaitCause::kQuota, "workspace 'team' holds 8 of its 8"};
  }

  JobRecord job;
  PlacementRecord placement;
  std::optional<WaitDecision> wait;
};

}  // namespace

Test(job_explanation, waiting_job_says_what_it_waits_for) {
  const JobFixture fixture;
  cr_assert_eq(ExplanationOf(fixture.job, nullptr, fixture.wait),
               "workspace 'team' holds 8 of its 8");
}

Test(job_explanation, stopped_job_gives_the_stop_reason) {
  JobFixture fixture;
  fixture.job.attempt = AttemptNumber(2);
  cr_assert_eq(
      ExplanationOf(fixture.job, nullptr, fixture.wait),
      "workspace 'team' holds 8 of its 8; its attempt 2 was stopped: zone 'a' was taken out");
}

Test(job_explanation, running_job_says_where_and_under_which_claim) {
  JobFixture fixture;
  fixture.job.state = JobState::kRunning;
  fixture.job.reason = "started";
  cr_assert_eq(
      ExplanationOf(fixture.job, &fixture.placement, std::nullopt),
      "started; it sits in zone 'b' on w1, w2, on borrowed capacity, which may be reclaimed");
}

}  // namespace papayalift
