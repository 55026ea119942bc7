#include "libraries/node/gang_stop.h"

#include <criterion/criterion.h>

#include "node/assert_no_violation.h"
#include "node/fleet_invariants.h"

namespace papayalift {

namespace {

/// One node, and a gang of two tasks that runs on both workers of zone "a" for twenty seconds.
struct RunningGangFixture {
  explicit RunningGangFixture(Idempotency idempotency = Idempotency::kIdempotent) {
    JobSpec spec = SpecOf("pair", 2, 4);
    spec.payload = "run 20s";
    spec.idempotency = idempotency;
    job = fleet.Submit(spec);
    fleet.Run(Milliseconds(1'000));
    attempt = fleet.Placements().at(0).attempt_id;
  }

  TestNode& node() { return fleet.node(0); }
  bool Runs(const AttemptId& id) { return fleet.worker_pool().RunningAttempts().contains(id); }

  TestFleet fleet{1};
  FleetInvariants invariants{fleet};
  JobId job;
  AttemptId attempt;
};

}  // namespace

Test(gang_stop, mark_answer_lost_stops_the_gang) {
  RunningGangFixture fixture;
  fixture.node().jobs().Cancel(fixture.job).value();
  fixture.node().store().FailNextCommit(CommitFault::kAnswerLost);
  fixture.fleet.Run(Milliseconds(2'000));
  cr_assert(fixture.fleet.Job(fixture.job).state == JobState::kCancelled);
  cr_assert_not(fixture.Runs(fixture.attempt));
}

Test(gang_stop, finalize_answer_lost_ends_the_job_once) {
  RunningGangFixture fixture;
  fixture.node().jobs().Cancel(fixture.job).value();
  fixture.node().Follow();
  fixture.node().RunPass();
  fixture.node().Step();
  fixture.node().Step();
  fixture.node().store().FailNextCommit(CommitFault::kAnswerLost);
  fixture.fleet.Run(Milliseconds(2'000));
  cr_assert(fixture.fleet.Job(fixture.job).state == JobState::kCancelled);
  cr_assert(fixture.fleet.Placements().empty());
}

Test(gang_stop, worker_answer_lost_asks_again) {
  RunningGangFixture fixture;
  fixture.node().jobs().Cancel(fixture.job).value();
  fixture.node().workers().FailNext(WorkerId("a1"), PacketFault::kAnswerLost);
  fixture.fleet.Run(Milliseconds(2'000));
  cr_assert(fixture.fleet.Job(fixture.job).state == JobState::kCancelled);
}

Test(gang_stop, worker_unreachable_waits_until_its_lease_has_lapsed) {
  RunningGangFixture fixture;
  fixture.node().workers().Disconnect(WorkerId("a2"));
  fixture.node().jobs().Cancel(fixture.job).value();
  fixture.fleet.Run(Milliseconds(14'000));
  cr_assert(fixture.fleet.Job(fixture.job).state == JobState::kStopping);
  fixture.fleet.Run(Milliseconds(6'000));
  cr_assert(fixture.fleet.Job(fixture.job).state == JobState::kCancelled);
  cr_assert_not(fixture.Runs(fixture.attempt));
}

Test(gang_stop, no_worker_reachable_non_idempotent_is_not_started_again) {
  RunningGangFixture fixture(Idempotency::kNonIdempotent);
  fixture.node().workers().Disconnect(WorkerId("a1"));
  fixture.node().workers().Disconnect(WorkerId("a2"));
  fixture.fleet.ChangeZone("a", ZoneState::kOut);
  fixture.fleet.Run(Milliseconds(20'000));
  const JobRecord job = fixture.fleet.Job(fixture.job);
  cr_assert(job.state == JobState::kFailed);
  cr_assert(job.verdict == Verdict::kMayHaveRun);
}

Test(gang_stop, start_granted_late_has_lapsed_before_the_next_attempt) {
  TestFleet fleet(1);
  FleetInvariants invariants(fleet);
  JobSpec spec = SpecOf("pair", 2, 4);
  spec.payload = "run 60s";
  fleet.Submit(spec);
  TestNode& node = fleet.node(0);
  node.Follow();
  node.RunPass();
  for (int step = 0; step < 3; ++step) {
    node.Step();
  }
  // The start reaches "a2" just before its reservation lapses, and nobody can reach "a2"
  // afterwards.
  node.workers().FailNext(WorkerId("a2"), PacketFault::kDelayed);
  node.Step();
  node.workers().Disconnect(WorkerId("a2"));
  node.Step();
  fleet.clock().Advance(kReservationLease - Milliseconds(10));
  fleet.worker_pool().DeliverDelayed();
  // Taking the zone out makes the next attempt go to the other zone.
  fleet.ChangeZone("a", ZoneState::kOut);
  for (int turn = 0; turn < 100; ++turn) {
    node.RunCycle();
    AssertNoViolation(invariants.FirstViolation());
    fleet.clock().Advance(Milliseconds(250));
  }
}

Test(gang_stop, worker_restarted_with_empty_memory_may_have_run) {
  RunningGangFixture fixture(Idempotency::kNonIdempotent);
  fixture.fleet.worker_pool().Restart(WorkerId("a1"));
  fixture.fleet.worker_pool().Restart(WorkerId("a2"));
  fixture.fleet.Run(Milliseconds(10'000));
  const JobRecord job = fixture.fleet.Job(fixture.job);
  cr_assert(job.state == JobState::kFailed);
  cr_assert(job.verdict == Verdict::kMayHaveRun);
  AssertNoViolation(fixture.invariants.FirstViolationAtRest());
}

Test(gang_stop, one_task_lost_restarts_the_whole_gang) {
  RunningGangFixture fixture;
  fixture.fleet.worker_pool().Restart(WorkerId("a1"));
  fixture.fleet.Run(Milliseconds(3'000));
  const std::map<AttemptId, std::set<WorkerId>> running =
      fixture.fleet.worker_pool().RunningAttempts();
  cr_assert_not(running.contains(fixture.attempt));
  cr_assert_eq(running.size(), 1U);
  cr_assert_eq(running.begin()->second.size(), 2U);
}

Test(gang_stop, gang_that_ran_is_queued_as_of_its_stop) {
  RunningGangFixture fixture;
  const Milliseconds submitted_at = fixture.fleet.Job(fixture.job).submitted_at;
  fixture.fleet.worker_pool().Restart(WorkerId("a1"));
  fixture.fleet.Run(Milliseconds(3'000));
  const JobRecord job = fixture.fleet.Job(fixture.job);
  cr_assert(job.attempt == AttemptNumber(2));
  cr_assert(job.queued_at >= submitted_at + Milliseconds(1'000));
  cr_assert(job.submitted_at == submitted_at);
}

Test(gang_stop, gang_that_never_started_keeps_its_queue_time) {
  TestFleet fleet{1};
  const JobId job = fleet.Submit(SpecOf("pair", 2, 4));
  const Milliseconds submitted_at = fleet.Job(job).submitted_at;
  fleet.node(0).workers().FailNext(WorkerId("a1"), PacketFault::kDropped);
  fleet.Run(Milliseconds(3'000));
  cr_assert(fleet.Job(job).queued_at == submitted_at);
}

Test(gang_stop, all_tasks_succeeded_before_the_stop_is_success) {
  RunningGangFixture fixture(Idempotency::kNonIdempotent);
  // The node runs no cycle between the end of the tasks and the zone going out.
  fixture.fleet.Run(Milliseconds(17'000));
  fixture.fleet.clock().Advance(Milliseconds(5'000));
  fixture.fleet.ChangeZone("a", ZoneState::kOut);
  fixture.node().Follow();
  fixture.node().RunPass();
  while (fixture.node().Step()) {
  }
  const JobRecord job = fixture.fleet.Job(fixture.job);
  cr_assert(job.state == JobState::kSucceeded);
  cr_assert(job.verdict == Verdict::kRan);
}

Test(gang_stop, worker_no_longer_declared_waits_for_its_lease_to_lapse) {
  RunningGangFixture fixture;
  fixture.fleet.Roll(SmallerBundleText());
  fixture.fleet.Run(Milliseconds(30'000));
  cr_assert_not(fixture.Runs(fixture.attempt));
  AssertNoViolation(fixture.invariants.FirstViolation());
  fixture.fleet.Run(Milliseconds(30'000));
  cr_assert(fixture.fleet.Job(fixture.job).state == JobState::kSucceeded);
}

Test(gang_stop, reservation_with_unreachable_worker_does_not_wait) {
  TestFleet fleet(1);
  const JobId job = fleet.Submit(SpecOf("pair", 2, 4));
  fleet.node(0).workers().Disconnect(WorkerId("a2"));
  fleet.node(0).RunCycle();
  cr_assert(fleet.Job(job).state == JobState::kQueued);
  cr_assert(fleet.Job(job).verdict == Verdict::kNotRun);
}

}  // namespace papayalift
