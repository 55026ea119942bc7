#include "libraries/fleet_lab/promise_checks.h"

#include <criterion/criterion.h>

namespace papayalift {

namespace {

/// Observations of a run that keeps all promises; each test adds one violation.
struct RunFixture {
  RunFixture() {
    zones["worker-1"] = ZoneId("zone-1");
    zones["minion-1"] = ZoneId("zone-1");
    JobObservation job;
    job.id = JobId("job");
    job.spec.shape = Shape{TaskCount(2), AcceleratorCount(1)};
    job.spec.idempotency = Idempotency::kNonIdempotent;
    job.submit = SubmitResult::kAccepted;
    job.record.state = JobState::kSucceeded;
    job.record.verdict = Verdict::kRan;
    job.record.attempt_id = AttemptId("job/1");
    seen.jobs.push_back(job);
    Start("job/1", 1'000);
    CallObservation call;
    call.request_id = "call";
    call.node = NodeId("node-1");
    call.verdict = Verdict::kRan;
    call.answer = AnswerKind::kOwn;
    call.sent_at = Milliseconds(1'000);
    seen.calls.push_back(call);
    Begin("call", 1'000);
  }

  void Start(const std::string& attempt, int at) {
    seen.starts.push_back(WorkerStart{
        WorkerId("worker-1"), StartRecord{AttemptId(attempt), JobId("job"), 2, Milliseconds(at)}});
  }

  void Begin(const std::string& request_id, int at) {
    seen.begins.push_back(
        MinionBegin{MinionId("minion-1"), BeginRecord{request_id, Milliseconds(at)}});
  }

  std::int64_t Broken(Promise promise) const {
    for (const PromiseTally& tally : CheckPromises(seen, zones, PromiseLimits{})) {
      if (tally.promise == promise) {
        return tally.broken;
      }
    }
    return -1;
  }

  std::int64_t AllBroken() const {
    std::int64_t broken = 0;
    for (const Promise promise : kPromises) {
      broken += Broken(promise);
    }
    return broken;
  }

  Observations seen;
  ZoneOfTarget zones;
};

}  // namespace

Test(promise_checks, run_without_a_break_breaks_nothing) {
  cr_expect_eq(RunFixture().AllBroken(), 0);
}

Test(promise_checks, guarantee_that_never_starts_is_broken) {
  RunFixture run;
  run.seen.probes.push_back(GuaranteeProbe{JobId("probe"), Milliseconds(1'000), Milliseconds(0)});
  cr_expect_eq(run.Broken(Promise::kGuaranteeReclaimed), 1);
}

Test(promise_checks, success_with_a_task_missing_is_broken) {
  RunFixture run;
  run.seen.starts.front().start.tasks = 1;
  cr_expect_eq(run.Broken(Promise::kGangWhole), 1);
}

Test(promise_checks, gang_partial_past_its_lease_is_broken) {
  RunFixture run;
  run.seen.partial_gangs.push_back(PartialGang{AttemptId("job/1"), Milliseconds(20'000)});
  cr_expect_eq(run.Broken(Promise::kGangWhole), 1);
}

Test(promise_checks, start_in_a_zone_that_is_out_is_broken_after_three_seconds) {
  RunFixture run;
  run.seen.zones_out.push_back(ZoneWindow{ZoneId("zone-1"), TimeWindow{Milliseconds(2'000)}});
  run.Begin("in time", 4'900);
  cr_expect_eq(run.Broken(Promise::kZoneOutHeld), 0);
  run.Begin("late", 5'100);
  cr_expect_eq(run.Broken(Promise::kZoneOutHeld), 1);
}

Test(promise_checks, foreign_answer_is_broken) {
  RunFixture run;
  run.seen.calls.front().answer = AnswerKind::kForeign;
  cr_expect_eq(run.Broken(Promise::kAnswerWholeAndOwn), 1);
}

Test(promise_checks, accepted_job_without_an_end_is_broken) {
  RunFixture run;
  run.seen.jobs.front().record.state = JobState::kQueued;
  cr_expect_eq(run.Broken(Promise::kAnswerWholeAndOwn), 1);
}

Test(promise_checks, call_told_not_run_that_began_is_broken) {
  RunFixture run;
  run.seen.calls.front().verdict = Verdict::kNotRun;
  cr_expect_eq(run.Broken(Promise::kNotRunDidNotRun), 1);
}

Test(promise_checks, job_refused_that_began_is_broken) {
  RunFixture run;
  run.seen.jobs.front().submit = SubmitResult::kRefused;
  cr_expect_eq(run.Broken(Promise::kNotRunDidNotRun), 1);
}

Test(promise_checks, non_idempotent_work_that_began_twice_is_broken) {
  RunFixture run;
  run.Begin("call", 2'000);
  run.Start("job/2", 2'000);
  cr_expect_eq(run.Broken(Promise::kAtMostOnce), 2);
}

Test(promise_checks, start_on_a_target_that_left_is_broken) {
  RunFixture run;
  run.seen.retired.push_back(RetireWindow{"minion-1", TimeWindow{Milliseconds(2'000)}});
  run.Begin("late", 5'100);
  cr_expect_eq(run.Broken(Promise::kLeavingTargetSpared), 1);
}

Test(promise_checks, call_cut_by_a_planned_stop_is_broken) {
  RunFixture run;
  run.seen.calls.front().answer = AnswerKind::kNone;
  run.seen.graceful_stops.push_back(
      GracefulStop{NodeId("node-1"), TimeWindow{Milliseconds(1'500)}});
  cr_expect_eq(run.Broken(Promise::kStopGraceful), 1);
}

Test(promise_checks, old_bundle_after_the_bound_or_a_step_back_is_broken) {
  RunFixture run;
  run.seen.rolls.push_back(BundleRoll{BundleVersion(2), Milliseconds(1'000)});
  for (const auto& [at, version] : {std::pair{5'000, 2}, std::pair{10'500, 1}}) {
    run.seen.sightings.push_back(
        BundleSighting{NodeId("node-1"), 1, Milliseconds(at), BundleVersion(version)});
  }
  cr_expect_eq(run.Broken(Promise::kBundleInForce), 2);
}

Test(promise_checks, old_bundle_while_the_store_is_away_is_excused) {
  RunFixture run;
  run.seen.rolls.push_back(BundleRoll{BundleVersion(2), Milliseconds(1'000)});
  run.seen.store_away.push_back(TimeWindow{Milliseconds(3'000), Milliseconds(30'000)});
  run.seen.sightings.push_back(
      BundleSighting{NodeId("node-1"), 1, Milliseconds(20'000), BundleVersion(1)});
  cr_expect_eq(run.Broken(Promise::kBundleInForce), 0);
}

}  // namespace papayalift
