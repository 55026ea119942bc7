#include "libraries/node/gang_start.h"

#include <criterion/criterion.h>

#include "node/assert_no_violation.h"
#include "node/fleet_invariants.h"

namespace papayalift {

namespace {

/// One node that owns all jobs, and a gang of two tasks that fills the two workers of zone "a".
struct OneNodeFixture {
  OneNodeFixture() {
    job = fleet.Submit(spec);
    node().Follow();
    node().RunPass();
  }

  TestNode& node() { return fleet.node(0); }
  void RunSteps(int count) {
    for (int step = 0; step < count; ++step) {
      node().Step();
    }
  }
  std::size_t starts() { return fleet.worker_pool().starts().size(); }
  /// Runs the fleet until the job has ended.
  JobRecord RunToEnd() {
    fleet.ClearFaults();
    fleet.Run(Milliseconds(60'000));
    return fleet.Job(job);
  }

  TestFleet fleet{1};
  FleetInvariants invariants{fleet};
  const JobSpec spec = SpecOf("pair", 2, 4);
  JobId job;
};

/// The steps of a start without faults.
constexpr int kReserveStep = 1;
constexpr int kPrepareStep = 2;
constexpr int kCommitStep = 3;
constexpr int kStartStep = 4;

}  // namespace

Test(gang_start, without_faults_starts_every_task) {
  OneNodeFixture fixture;
  fixture.RunSteps(kStartStep);
  cr_assert_eq(fixture.starts(), 2U);
  cr_assert(fixture.fleet.Job(fixture.job).state == JobState::kRunning);
  cr_assert(fixture.RunToEnd().state == JobState::kSucceeded);
}

Test(gang_start, reserve_answer_lost_goes_on) {
  OneNodeFixture fixture;
  fixture.node().store().FailNextCommit(CommitFault::kAnswerLost);
  fixture.RunSteps(kStartStep + 1);
  cr_assert_eq(fixture.starts(), 2U);
}

Test(gang_start, reserve_answer_lost_then_cancelled_keeps_the_cancellation) {
  OneNodeFixture fixture;
  fixture.node().store().FailNextCommit(CommitFault::kAnswerLost);
  fixture.RunSteps(kReserveStep);
  cr_assert(fixture.node().jobs().Cancel(fixture.job).ok());
  const JobRecord job = fixture.RunToEnd();
  cr_assert(job.state == JobState::kCancelled);
  cr_assert(job.verdict == Verdict::kNotRun);
  cr_assert_eq(fixture.starts(), 0U);
}

Test(gang_start, reserve_applied_late_is_released) {
  OneNodeFixture fixture;
  fixture.node().store().FailNextCommit(CommitFault::kDelayed);
  fixture.RunSteps(kReserveStep + 1);
  cr_assert_not(fixture.node().runner().IsBusy(fixture.job));
  fixture.node().store().DeliverDelayed();
  cr_assert_eq(fixture.fleet.Placements().size(), 1U);
  cr_assert(fixture.RunToEnd().state == JobState::kSucceeded);
  AssertNoViolation(fixture.invariants.FirstViolationAtRest());
}

Test(gang_start, reserve_found_stopping_is_left_to_whoever_stops_it) {
  OneNodeFixture fixture;
  TestFleet& fleet = fixture.fleet;
  fixture.node().store().FailNextCommit(CommitFault::kAnswerLost);
  fixture.RunSteps(kReserveStep);
  const PlacementRecord placement = fleet.Placements().front();
  StopPlan plan;
  plan.job = placement.job;
  plan.zone = placement.zone;
  plan.attempt = placement.attempt_id;
  plan.reason = "a stop by another node";
  const std::shared_ptr<GangStop> stop = GangStop::Create(fixture.node().context(), plan);
  stop->Step();
  fixture.RunSteps(kStartStep);
  cr_assert(fleet.Placements().front().phase == PlacementPhase::kStopping);
  cr_assert_eq(fixture.starts(), 0U);
}

Test(gang_start, prepare_refused_leaves_nothing_behind) {
  OneNodeFixture fixture;
  fixture.node().workers().Disconnect(WorkerId("a2"));
  fixture.RunSteps(kPrepareStep);
  fixture.RunSteps(3);
  const JobRecord job = fixture.fleet.Job(fixture.job);
  cr_assert(fixture.fleet.Placements().empty());
  cr_assert(job.state == JobState::kQueued);
  cr_assert(job.verdict == Verdict::kNotRun);
  cr_assert_eq(job.attempt.value(), 0);
  cr_assert_eq(fixture.starts(), 0U);
}

Test(gang_start, commit_answer_lost_starts_once) {
  OneNodeFixture fixture;
  fixture.RunSteps(kPrepareStep);
  fixture.node().store().FailNextCommit(CommitFault::kAnswerLost);
  fixture.RunSteps(3);
  cr_assert_eq(fixture.starts(), 2U);
  cr_assert(fixture.RunToEnd().state == JobState::kSucceeded);
}

Test(gang_start, commit_applied_late_never_starts) {
  OneNodeFixture fixture;
  fixture.RunSteps(kPrepareStep);
  fixture.node().store().FailNextCommit(CommitFault::kDelayed);
  fixture.RunSteps(2);
  fixture.node().store().DeliverDelayed();
  fixture.RunSteps(4);
  cr_assert_eq(fixture.starts(), 0U);
  cr_assert(fixture.fleet.Job(fixture.job).verdict == Verdict::kNotRun);
}

Test(gang_start, cancel_before_commit_is_not_run) {
  OneNodeFixture fixture;
  fixture.RunSteps(kPrepareStep);
  cr_assert(fixture.node().jobs().Cancel(fixture.job).ok());
  const JobRecord job = fixture.RunToEnd();
  cr_assert(job.state == JobState::kCancelled);
  cr_assert(job.verdict == Verdict::kNotRun);
  cr_assert_eq(fixture.starts(), 0U);
}

Test(gang_start, cancel_after_commit_ends_the_job) {
  OneNodeFixture fixture;
  fixture.RunSteps(kCommitStep);
  cr_assert(fixture.node().jobs().Cancel(fixture.job).ok());
  const JobRecord job = fixture.RunToEnd();
  cr_assert(job.state == JobState::kCancelled);
  cr_assert_eq(fixture.starts(), 2U);
  cr_assert(job.verdict == Verdict::kMayHaveRun);
}

Test(gang_start, zone_out_after_prepare_never_starts) {
  OneNodeFixture fixture;
  fixture.RunSteps(kPrepareStep);
  fixture.fleet.ChangeZone("a", ZoneState::kOut);
  fixture.RunSteps(4);
  cr_assert_eq(fixture.starts(), 0U);
}

Test(gang_start, paused_after_commit_zone_out_never_starts) {
  OneNodeFixture fixture;
  fixture.RunSteps(kCommitStep);
  fixture.fleet.ChangeZone("a", ZoneState::kOut);
  // The view that the commit confirmed has just expired, while the reservations have not lapsed
  // yet, so that only the view can prevent the start.
  fixture.fleet.clock().Advance(kViewLimit);
  fixture.RunSteps(1);
  cr_assert_eq(fixture.starts(), 0U);
}

Test(gang_start, paused_before_sending_the_start_finds_reservations_lapsed) {
  OneNodeFixture fixture;
  fixture.RunSteps(kCommitStep);
  TestFleet& fleet = fixture.fleet;
  fixture.node().workers().RunBeforeNextStart([&fleet] {
    fleet.ChangeZone("a", ZoneState::kOut);
    fleet.clock().Advance(kReservationLease);
  });
  fixture.RunSteps(1);
  cr_assert_eq(fixture.starts(), 0U);
}

Test(gang_start, start_delayed_past_the_reservation_is_refused) {
  OneNodeFixture fixture;
  fixture.RunSteps(kCommitStep);
  fixture.node().workers().FailNext(WorkerId("a1"), PacketFault::kDelayed);
  fixture.node().workers().FailNext(WorkerId("a2"), PacketFault::kDelayed);
  fixture.RunSteps(1);
  fixture.fleet.clock().Advance(kReservationLease);
  fixture.fleet.worker_pool().DeliverDelayed();
  cr_assert_eq(fixture.starts(), 0U);
}

Test(gang_start, start_duplicated_after_a_stop_is_refused) {
  OneNodeFixture fixture;
  fixture.RunSteps(kCommitStep);
  fixture.node().workers().FailNext(WorkerId("a1"), PacketFault::kDuplicated);
  fixture.RunSteps(1);
  cr_assert(fixture.node().jobs().Cancel(fixture.job).ok());
  fixture.node().RunCycle();
  cr_assert(fixture.fleet.worker_pool().RunningAttempts().empty());
  fixture.fleet.worker_pool().DeliverDelayed();
  cr_assert(fixture.fleet.worker_pool().RunningAttempts().empty());
  cr_assert_eq(fixture.starts(), 2U);
}

Test(gang_start, start_lost_to_one_worker_stops_the_other) {
  OneNodeFixture fixture;
  fixture.RunSteps(kCommitStep);
  fixture.node().workers().FailNext(WorkerId("a2"), PacketFault::kDropped);
  fixture.RunSteps(3);
  cr_assert_eq(fixture.starts(), 1U);
  cr_assert(fixture.fleet.worker_pool().RunningAttempts().empty());
  cr_assert(fixture.RunToEnd().state == JobState::kSucceeded);
}

Test(gang_start, owner_crashes_at_each_step_job_ends_and_runs_once) {
  for (int steps = 0; steps <= kStartStep + 1; ++steps) {
    TestFleet fleet(2);
    FleetInvariants invariants(fleet);
    JobSpec spec = SpecOf("pair-once", 2, 4);
    spec.idempotency = Idempotency::kNonIdempotent;
    fleet.SetLive({0});
    const JobId job = fleet.Submit(spec);
    fleet.node(0).Follow();
    fleet.node(0).RunPass();
    for (int step = 0; step < steps; ++step) {
      fleet.node(0).Step();
    }
    fleet.Crash(0);
    fleet.SetLive({1});
    fleet.RunNode(1, Milliseconds(60'000));
    AssertNoViolation(invariants.FirstViolationAtRest());
    cr_assert(IsFinal(fleet.Job(job).state));
  }
}

}  // namespace papayalift
