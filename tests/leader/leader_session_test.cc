#include "libraries/leader/leader_session.h"

#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

RegisteredJob MakeSingleStepJob(const StepSpec& step, Milliseconds duration = Milliseconds(1'000)) {
  RegisteredJob job;
  job.work.steps = {step};
  job.duration = duration;
  return job;
}

RegisteredJob MakeGangJob(int count, std::int64_t accelerators,
                          Milliseconds duration = Milliseconds(1'000)) {
  RegisteredJob job = MakeSingleStepJob(MakeStep(count, accelerators), duration);
  job.work.steps[0].kind = WorkStepKind::kGang;
  return job;
}

void AssertNoViolations(const TestCluster& cluster) {
  for (const std::string& violation : cluster.minions.violations()) {
    cr_expect(false, "%s", violation.c_str());
  }
}

}  // namespace

Test(leader_session, job_of_independent_tasks_is_done) {
  TestCluster cluster;
  cr_assert(cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(6, 1))).kind ==
            JobReplyKind::kAccepted);
  cluster.Run(Milliseconds(3'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 6);
  AssertNoViolations(cluster);
}

Test(leader_session, gang_larger_than_a_minion_is_done) {
  TestCluster cluster;
  cluster.Submit(MakeJobId(1), MakeGangJob(3, 8));
  cluster.Run(Milliseconds(3'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 3);
  AssertNoViolations(cluster);
}

Test(leader_session, later_step_waits_for_the_earlier) {
  TestCluster cluster;
  RegisteredJob job;
  job.work.steps = {MakeStep(3, 1), MakeStep(2, 1)};
  job.work.steps[1].after = {0};
  cluster.Submit(MakeJobId(1), job);
  cluster.Run(Milliseconds(1'500));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kRunning);
  cluster.Run(Milliseconds(2'500));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  AssertNoViolations(cluster);
}

Test(leader_session, failing_job_fails_after_as_many_attempts_as_its_queue_allows) {
  TestCluster cluster;
  RegisteredJob job = MakeSingleStepJob(MakeStep(1, 1));
  job.failing_attempts = 10;
  cluster.Submit(MakeJobId(1), job);
  cluster.Run(Milliseconds(10'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kFailed);
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 3);
}

Test(leader_session, job_that_fails_once_is_tried_again) {
  TestCluster cluster;
  RegisteredJob job = MakeGangJob(2, 4);
  job.failing_attempts = 1;
  cluster.Submit(MakeJobId(1), job);
  cluster.Run(Milliseconds(8'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  AssertNoViolations(cluster);
}

Test(leader_session, cancelled_job_is_stopped_and_not_started_again) {
  TestCluster cluster;
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(2, 1), Milliseconds(30'000)));
  cluster.Run(Milliseconds(500));
  cr_assert_eq(cluster.minions.RunningOn(MakeJobId(1)).size(), 2);
  const JobReply reply =
      cluster.node(0).Ask(JobRequestKind::kCancel, "/p1/" + MakeJobId(1).text(), "key");
  cr_assert(reply.kind == JobReplyKind::kCancelled);
  cluster.Run(Milliseconds(1'000));
  cr_assert(cluster.minions.RunningOn(MakeJobId(1)).empty());
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kCancelled);
  cluster.Run(Milliseconds(3'000));
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 2);
}

// An end that was reported after the job was done and then cancelled was written on the condition
// that the job was not cancelled. The conflict made the done job cancelled (meta/soak, seed 162).
Test(leader_session, done_job_stays_done_when_it_is_cancelled_and_an_end_is_reported_late) {
  TestCluster cluster;
  cluster.Submit(MakeJobId(1), MakeGangJob(2, 8));
  cluster.Run(Milliseconds(600));
  const std::vector<MinionId> minions = cluster.minions.RunningOn(MakeJobId(1));
  cr_assert_eq(minions.size(), 2);
  cluster.minions.SetReachable(minions[1], false);
  cluster.Run(Milliseconds(1'200));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  const JobReply reply =
      cluster.node(0).Ask(JobRequestKind::kCancel, "/p1/" + MakeJobId(1).text(), "key");
  cr_assert(reply.kind == JobReplyKind::kCancelled);
  cluster.minions.SetReachable(minions[1], true);
  cluster.Run(Milliseconds(8'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  AssertNoViolations(cluster);
}

// A run that a report had listed was stopped because the answer to its start was lost (meta/soak,
// seed 160).
Test(leader_session, reported_run_continues_when_its_start_is_not_answered) {
  TestCluster cluster(1, 1);
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(1, 1), Milliseconds(400)));
  cluster.Run(Milliseconds(200));
  cluster.minions.FailNextOrders(MinionId("m0"), {OrderFault::kAnswerLost});
  cluster.Submit(MakeJobId(2), MakeSingleStepJob(MakeStep(1, 1), Milliseconds(2'000)));
  cluster.Run(Milliseconds(3'000));
  cr_assert(cluster.StateOf(MakeJobId(2)) == WorkState::kDone);
  cr_assert_eq(cluster.minions.starts(MakeJobId(2)), 1);
  AssertNoViolations(cluster);
}

// A workspace that borrows capacity at the guaranteed priority must return it as well.
Test(leader_session, guaranteed_job_stops_borrowers_of_the_same_priority) {
  TestCluster cluster;
  cluster.PutManifestOfTwoWorkspaces(2);
  cluster.Run(Milliseconds(500));
  for (int number = 1; number <= 4; ++number) {
    cluster.Submit(MakeJobId(number), MakeSingleStepJob(MakeStep(1, 8), Milliseconds(60'000)),
                   Priority(0));
  }
  cluster.Run(Milliseconds(500));
  cr_assert_eq(cluster.minions.starts(), 4);
  const RegisteredJob claim = MakeGangJob(2, 8);
  cluster.minions.RegisterJob(MakeJobId(9), claim);
  cr_assert(cluster.node(0)
                .Ask(JobRequestKind::kSubmit, "/p0/" + MakeJobId(9).text(), "other",
                     EncodeJobBody(claim.work))
                .kind == JobReplyKind::kAccepted);
  constexpr Milliseconds kReclaimBound{2'700};
  cluster.Run(kReclaimBound);
  cr_assert_eq(cluster.minions.starts(MakeJobId(9)), 2);
  AssertNoViolations(cluster);
}

Test(leader_session, guaranteed_job_stops_jobs_of_lower_priority) {
  TestCluster cluster;
  for (int number = 1; number <= 4; ++number) {
    cluster.Submit(MakeJobId(number), MakeSingleStepJob(MakeStep(1, 8), Milliseconds(60'000)));
  }
  cluster.Run(Milliseconds(500));
  cr_assert_eq(cluster.minions.starts(), 4);
  cluster.Submit(MakeJobId(9), MakeGangJob(2, 8), Priority(0));
  cluster.Run(Milliseconds(800));
  cr_assert_eq(cluster.minions.RunningOn(MakeJobId(9)).size(), 2);
  AssertNoViolations(cluster);
}

// One job more than the guarantee took the guarantee from all jobs of the workspace.
Test(leader_session, jobs_within_the_guarantee_keep_it_when_another_exceeds_it) {
  TestCluster cluster;
  for (int number = 1; number <= 4; ++number) {
    RegisteredJob job = MakeSingleStepJob(MakeStep(1, 8), Milliseconds(60'000));
    cluster.Submit(MakeJobId(number), job, Priority(2));
  }
  cluster.Run(Milliseconds(1'500));
  cr_assert_eq(cluster.minions.starts(), 4);
  for (int number = 11; number <= 13; ++number) {
    cluster.Submit(MakeJobId(number), MakeSingleStepJob(MakeStep(1, 8), Milliseconds(30'000)),
                   Priority(0));
  }
  cluster.Run(Milliseconds(2'000));
  cr_assert_eq(cluster.minions.starts(MakeJobId(11)), 1);
  cr_assert_eq(cluster.minions.starts(MakeJobId(12)), 1);
  AssertNoViolations(cluster);
}

Test(leader_session, job_without_guaranteed_priority_stops_no_other) {
  TestCluster cluster;
  for (int number = 1; number <= 4; ++number) {
    cluster.Submit(MakeJobId(number), MakeSingleStepJob(MakeStep(1, 8), Milliseconds(60'000)),
                   Priority(2));
  }
  cluster.Run(Milliseconds(500));
  cluster.Submit(MakeJobId(9), MakeGangJob(2, 8), Priority(1));
  cluster.Run(Milliseconds(3'000));
  cr_assert(cluster.minions.RunningOn(MakeJobId(9)).empty());
}

Test(leader_session, start_with_a_lost_answer_runs_once) {
  TestCluster cluster;
  for (const char* const id : {"m0", "m1", "m2", "m3"}) {
    cluster.minions.FailNextOrders(MinionId(id), {OrderFault::kAnswerLost, OrderFault::kLost});
  }
  cluster.Submit(MakeJobId(1), MakeGangJob(4, 8));
  cluster.Run(Milliseconds(6'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 4);
  AssertNoViolations(cluster);
}

Test(leader_session, start_that_is_executed_late_breaks_no_rule) {
  TestCluster cluster;
  cluster.minions.FailNextOrders(MinionId("m0"),
                                 {OrderFault::kLate, OrderFault::kLate, OrderFault::kLate});
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(4, 8), Milliseconds(2'000)));
  cluster.Run(Milliseconds(15'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  AssertNoViolations(cluster);
}

Test(leader_session, refused_gang_member_restarts_the_gang) {
  TestCluster cluster;
  cluster.minions.FailNextOrders(MinionId("m1"), {OrderFault::kRefused});
  cluster.Submit(MakeJobId(1), MakeGangJob(4, 8));
  cluster.Run(Milliseconds(6'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  AssertNoViolations(cluster);
}

Test(leader_session, restarted_minion_loses_its_runs_and_they_run_again) {
  TestCluster cluster;
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(4, 8), Milliseconds(3'000)));
  cluster.Run(Milliseconds(1'000));
  cluster.minions.Restart(MinionId("m2"));
  cluster.Run(Milliseconds(9'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 5);
  AssertNoViolations(cluster);
}

// The first end of a new incarnation had the same number as one of the previous incarnation, and
// was acknowledged before it was reported (found by cluster_property_test).
Test(leader_session, end_of_a_new_incarnation_is_not_acknowledged_before_it_was_reported) {
  TestCluster cluster;
  RegisteredJob quick = MakeSingleStepJob(MakeStep(1, 8), Milliseconds(100));
  for (int number = 1; number <= 4; ++number) {
    cluster.Submit(MakeJobId(number), quick);
  }
  cluster.Run(Milliseconds(1'000));
  for (const char* const id : {"m0", "m1", "m2", "m3"}) {
    cluster.minions.FailNextOrders(MinionId(id), {OrderFault::kLost, OrderFault::kLost});
  }
  for (int number = 5; number <= 8; ++number) {
    cluster.Submit(MakeJobId(number), quick);
  }
  cluster.Run(Milliseconds(700));
  for (const char* const id : {"m0", "m1", "m2", "m3"}) {
    cluster.minions.Restart(MinionId(id));
  }
  cluster.Run(Milliseconds(10'000));
  cr_assert_eq(cluster.minions.starts(), 8, "%d", cluster.minions.starts());
  AssertNoViolations(cluster);
}

// A minion that was idle while it was unreachable was never contacted again (found by
// cluster_property_test).
Test(leader_session, idle_minion_that_was_unreachable_is_used_again) {
  TestCluster cluster;
  cluster.minions.SetReachable(MinionId("m1"), false);
  cluster.minions.Restart(MinionId("m1"));
  cluster.Run(Milliseconds(5'000));
  cluster.minions.SetReachable(MinionId("m1"), true);
  cluster.Run(Milliseconds(5'000));
  cluster.Submit(MakeJobId(1), MakeGangJob(4, 8));
  cluster.Run(Milliseconds(3'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
}

// The lease is the usual one of six seconds: the store confirms the term all the while.
Test(leader_session, unreachable_minion_keeps_its_task_until_its_lease_is_over) {
  TestCluster cluster;
  cluster.Run(Milliseconds(11'000));
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(1, 8), Milliseconds(60'000)));
  cluster.Run(Milliseconds(500));
  const MinionId first = cluster.minions.RunningOn(MakeJobId(1)).at(0);
  cluster.minions.SetReachable(first, false);
  cluster.Run(Milliseconds(3'500));
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 1);
  cluster.Run(Milliseconds(4'500));
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 2);
  AssertNoViolations(cluster);
}

// The load: minions write a heartbeat each second or so, which gives their entries new revisions.
// One placement in four was refused since it compared them.
Test(leader_session, heartbeat_between_decision_and_write_refuses_no_placement) {
  LeaderSettings settings;
  settings.registration_freshness = Milliseconds(1'500);
  TestCluster cluster(1, 4, settings);
  cluster.RunWithHeartbeats(Milliseconds(200), Milliseconds(4));
  for (int number = 1; number <= 5; ++number) {
    cluster.minions.RegisterJob(MakeJobId(number), MakeSingleStepJob(MakeStep(4, 8)));
    cluster.Submit(MakeJobId(number), MakeSingleStepJob(MakeStep(4, 8), Milliseconds(100)));
    cluster.RunWithHeartbeats(Milliseconds(400), Milliseconds(4));
    cr_assert_eq(cluster.minions.starts(MakeJobId(number)), 4);
    // Each placement was stored at the first try, so every task has its first attempt.
    cr_assert(cluster.StateOf(MakeJobId(number)) == WorkState::kDone);
  }
  cr_assert_eq(cluster.node(0).minions().starts(), 20);
  AssertNoViolations(cluster);
}

// The load: a rack or zone is lost at once. Its idle minions are asked for nothing, so starts went
// there until their entries expired.
Test(leader_session, minion_whose_heartbeat_is_overdue_gets_no_task) {
  TestCluster cluster;
  cluster.RunWithHeartbeats(Milliseconds(3'000), Milliseconds(500));
  cluster.minions.SetReachable(MinionId("m1"), false);
  cluster.RunWithHeartbeats(Milliseconds(3'000), Milliseconds(500));
  const int before = cluster.node(0).minions().starts();
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(3, 8)));
  cluster.RunWithHeartbeats(Milliseconds(2'000), Milliseconds(500));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  cr_assert_eq(cluster.node(0).minions().starts() - before, 3);
}

// Entries that were read again after the store had forgotten its history were taken for heartbeats
// (cluster_property_test, seed 20261204).
Test(leader_session, entries_that_are_read_again_are_no_heartbeats) {
  TestCluster cluster;
  cluster.store.CompactHistory();
  cluster.Run(Milliseconds(4'000));
  cluster.minions.Restart(MinionId("m2"));
  cluster.Run(Milliseconds(100));
  cluster.Submit(MakeJobId(1), MakeGangJob(4, 8));
  cluster.Run(Milliseconds(3'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
}

// An entry that a refused write had shown before the watch did was taken for a heartbeat
// (cluster_property_test, seed 77).
Test(leader_session, entry_that_is_seen_twice_is_no_heartbeat) {
  TestCluster cluster;
  cluster.Run(Milliseconds(1'000));
  cluster.Submit(MakeJobId(1), MakeGangJob(4, 8));
  cluster.minions.Restart(MinionId("m2"));
  cluster.Run(Milliseconds(4'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  cluster.minions.Restart(MinionId("m1"));
  cluster.Run(Milliseconds(4'000));
  cluster.Submit(MakeJobId(2), MakeGangJob(4, 8));
  cluster.Run(Milliseconds(3'000));
  cr_assert(cluster.StateOf(MakeJobId(2)) == WorkState::kDone);
}

Test(leader_session, silent_registry_leaves_all_minions_in_use) {
  TestCluster cluster;
  cluster.RunWithHeartbeats(Milliseconds(3'000), Milliseconds(500));
  cluster.Run(Milliseconds(6'000));
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(4, 8)));
  cluster.Run(Milliseconds(2'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
}

// The load: a new leader of thousands of minions. Their first reports came all at once, so that it
// renewed its term too late and the next one met the same.
Test(leader_session, new_leader_requests_a_bounded_number_of_first_reports_at_a_time) {
  TestCluster cluster(1, 600);
  cluster.Run(Milliseconds(1'000));
  cr_assert_eq(cluster.node(0).minions().holds(), 600);
  cr_assert_leq(cluster.node(0).minions().max_holds_in_flight(), 256);
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(600, 8)));
  cluster.Run(Milliseconds(4'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
}

// A call that acknowledged and waited deleted ends of a minion that had started anew.
Test(leader_session, end_is_acknowledged_by_one_call_that_does_not_wait) {
  TestCluster cluster(1, 1);
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(1, 1), Milliseconds(10'000)));
  cluster.Run(Milliseconds(500));
  const int before = cluster.node(0).minions().holds();
  cluster.Submit(MakeJobId(2), MakeSingleStepJob(MakeStep(1, 1), Milliseconds(300)));
  cluster.Run(Milliseconds(1'500));
  cr_assert(cluster.StateOf(MakeJobId(2)) == WorkState::kDone);
  // The start goes over a new connection, so that one call learns which process it has met. The
  // waiting call that brings the end was sent before; after it one acknowledges, one waits.
  cr_assert_eq(cluster.node(0).minions().holds() - before, 3);
  cr_assert_eq(cluster.node(0).minions().acknowledging_holds(), 1);
  cluster.Submit(MakeJobId(3), MakeSingleStepJob(MakeStep(1, 1), Milliseconds(300)));
  cluster.Run(Milliseconds(1'500));
  cr_assert(cluster.StateOf(MakeJobId(3)) == WorkState::kDone);
  cr_assert_eq(cluster.node(0).minions().holds() - before, 5);
  cr_assert_eq(cluster.node(0).minions().acknowledging_holds(), 2);
  cr_assert_eq(cluster.node(0).minions().waiting_acknowledgements(), 0);
  AssertNoViolations(cluster);
}

Test(leader_session, draining_minion_gets_no_task) {
  TestCluster cluster;
  cluster.minions.SetDraining(MinionId("m0"));
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(4, 8)));
  cluster.Run(Milliseconds(400));
  const std::vector<MinionId> used = cluster.minions.RunningOn(MakeJobId(1));
  cr_assert_eq(used.size(), 3);
  cr_assert(std::find(used.begin(), used.end(), MinionId("m0")) == used.end());
}

Test(leader_session, drain_that_the_watch_has_not_reported_prevents_the_placement) {
  TestCluster cluster;
  cluster.Run(Milliseconds(1'000));
  // The drain is stored between the decision and its write, whose condition must detect it.
  cluster.minions.RegisterJob(MakeJobId(1), MakeSingleStepJob(MakeStep(4, 8)));
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(4, 8)));
  cluster.minions.SetDraining(MinionId("m0"));
  cluster.Run(Milliseconds(400));
  const std::vector<MinionId> used = cluster.minions.RunningOn(MakeJobId(1));
  cr_assert(std::find(used.begin(), used.end(), MinionId("m0")) == used.end());
}

Test(leader_session, evacuated_zone_gets_no_task_until_it_is_taken_back) {
  TestCluster cluster;
  cluster.store.Put("op/evacuate/a", "{}");
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(1, 1)));
  cluster.Run(Milliseconds(3'000));
  cr_assert_eq(cluster.minions.starts(), 0);
  cluster.store.Remove("op/evacuate/a");
  cluster.Run(Milliseconds(3'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
}

Test(leader_session, killed_leader_is_replaced_and_runs_continue) {
  TestCluster cluster(3);
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(4, 4), Milliseconds(6'000)));
  cluster.Run(Milliseconds(1'000));
  cluster.Kill(cluster.leader_index());
  cluster.Run(Milliseconds(9'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 4);
  AssertNoViolations(cluster);
}

Test(leader_session, leader_killed_between_write_and_order_causes_no_second_run) {
  TestCluster cluster(3);
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(4, 4), Milliseconds(4'000)));
  // A few milliseconds after the reply the write of the placement is in flight.
  cluster.Run(Milliseconds(14));
  cluster.Kill(cluster.leader_index());
  cluster.Run(Milliseconds(15'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  AssertNoViolations(cluster);
}

Test(leader_session, store_outage_of_seconds_stops_no_running_task) {
  TestCluster cluster;
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(2, 4), Milliseconds(9'000)));
  cluster.Run(Milliseconds(1'000));
  cluster.node(0).store().SetReachable(false);
  cluster.Run(Milliseconds(5'000));
  cluster.node(0).store().SetReachable(true);
  cluster.Run(Milliseconds(9'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 2);
  AssertNoViolations(cluster);
}

Test(leader_session, compacted_history_is_read_again) {
  TestCluster cluster;
  cluster.Run(Milliseconds(1'000));
  cluster.store.CompactHistory();
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(1, 1)));
  cluster.store.CompactHistory();
  cluster.Run(Milliseconds(5'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
}

// Watches report nothing for a second before the store forgets its history. Jobs that were accepted
// meanwhile started that much later.
Test(leader_session, jobs_start_while_watches_are_silent) {
  TestCluster cluster;
  cluster.RunWithHeartbeats(Milliseconds(2'000), Milliseconds(100));
  cluster.node(0).store().SetWatchesSilent(true);
  cluster.RunWithHeartbeats(Milliseconds(600), Milliseconds(100));
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(2, 8), Milliseconds(10'000)));
  cluster.RunWithHeartbeats(Milliseconds(900), Milliseconds(100));
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 2);
  cluster.node(0).store().SetWatchesSilent(false);
  cluster.RunWithHeartbeats(Milliseconds(12'000), Milliseconds(100));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  AssertNoViolations(cluster);
}

Test(leader_session, lost_store_answers_lose_no_job) {
  TestCluster cluster;
  cluster.Submit(MakeJobId(1), MakeSingleStepJob(MakeStep(3, 1)));
  cluster.node(0).store().FailNextCommits({StoreFault::kAnswerLost, StoreFault::kAppliedLate,
                                           StoreFault::kRefused, StoreFault::kAnswerLost,
                                           StoreFault::kAppliedLate});
  cluster.Run(Milliseconds(20'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  AssertNoViolations(cluster);
}

}  // namespace papayalift
