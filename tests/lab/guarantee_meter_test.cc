#include "libraries/lab/guarantee_meter.h"

#include <criterion/criterion.h>

#include "lab/lab_fixture.h"
#include "libraries/lab/lab_run.h"
#include "libraries/lab/simulation.h"

namespace papayalift {

namespace {

constexpr Shape kPair{TaskCount(2), AcceleratorCount(2)};

/// A guarantee of two pairs, and a policy that starts nothing.
struct GuaranteeFixture : LabFixture {
  GuaranteeFixture() { scenario.workspaces.front().spec.guarantees = {Guarantee{kPair, 2}}; }

  RunReport RunIdle() const {
    return Simulation(scenario, 1, [](const Snapshot& /*snapshot*/) { return Decision(); }).Run();
  }
};

}  // namespace

Test(guarantee_meter, observe_more_jobs_than_guarantees_claims_only_the_guaranteed) {
  GuaranteeFixture fixture;
  fixture.AddJobs("pair", kPair, kMinute, kMinute, kNeverCancelled, 5);
  const RunReport report = fixture.RunIdle();
  cr_assert_eq(report.normal_claims.wait.count, 2);
  cr_assert_eq(report.normal_claims.missed, 2);
}

Test(guarantee_meter, observe_shape_larger_than_guaranteed_is_no_claim) {
  GuaranteeFixture fixture;
  fixture.AddJobs("wide", Shape{TaskCount(1), AcceleratorCount(3)}, kMinute, kMinute,
                  kNeverCancelled, 1);
  cr_assert_eq(fixture.RunIdle().normal_claims.wait.count, 0);
}

Test(guarantee_meter, observe_urgent_claim_never_started_is_missed) {
  GuaranteeFixture fixture;
  fixture.AddJobs("pair", kPair, kMinute, kMinute, kNeverCancelled, 1);
  fixture.scenario.classes.front().urgent_share = 1.0;
  const RunReport report = fixture.RunIdle();
  cr_assert_eq(report.urgent_claims.missed, 1);
  cr_assert_eq(report.normal_claims.wait.count, 0);
}

Test(guarantee_meter, observe_claim_above_quota_is_counted_separately) {
  GuaranteeFixture fixture;
  fixture.AddJobs("pair", kPair, kMinute, kMinute, kNeverCancelled, 1);
  cr_assert_eq(fixture.RunIdle().normal_claims.missed_at_own_quota, 0);
  // A wide gang holds the whole quota before the claim arrives.
  fixture.scenario.workspaces.front().spec.quota = AcceleratorCount(8);
  fixture.AddJobs("wide", Shape{TaskCount(2), AcceleratorCount(4)}, 100 * kMinute, Milliseconds(0),
                  kNeverCancelled, 1);
  const RunReport report = *RunPolicy(fixture.scenario, "fifo", 1);
  cr_assert_eq(report.normal_claims.missed, 1);
  cr_assert_eq(report.normal_claims.missed_at_own_quota, 1);
}

Test(guarantee_meter, observe_cancelled_job_withdraws_its_claim) {
  GuaranteeFixture fixture;
  fixture.AddJobs("pair", kPair, kMinute, kMinute, 2 * kMinute, 1);
  cr_assert_eq(fixture.RunIdle().normal_claims.wait.count, 0);
}

}  // namespace papayalift
