#include "libraries/front_desk/front_desk.h"

#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

KnownJob SmallJob() {
  KnownJob job;
  job.work.steps = {MakeStep(1, 1)};
  job.duration = Milliseconds(5'000);
  return job;
}

const std::string kPath = "/p1/" + MakeJobId(1).text();

}  // namespace

Test(front_desk, repeated_submission_is_one_job) {
  TestCluster cluster(2);
  cr_assert(cluster.Submit(MakeJobId(1), SmallJob()).kind == JobReplyKind::kAccepted);
  cr_assert(cluster.node(1)
                .Ask(JobRequestKind::kSubmit, kPath, "key", EncodeJobBody(SmallJob().work))
                .kind == JobReplyKind::kAccepted);
  cluster.Run(Milliseconds(8'000));
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 1);
}

Test(front_desk, unknown_key_is_refused) {
  TestCluster cluster;
  cr_assert(cluster.node(0)
                .Ask(JobRequestKind::kSubmit, kPath, "other", EncodeJobBody(SmallJob().work))
                .kind == JobReplyKind::kBadKey);
}

Test(front_desk, key_taken_away_is_refused_at_once) {
  TestCluster cluster;
  cr_assert(cluster.node(0).Ask(JobRequestKind::kAsk, "/p1/", "key").kind ==
            JobReplyKind::kPending);
  cluster.PutManifest(2, "new");
  cluster.Run(Milliseconds(310));
  cr_assert(cluster.node(0).Ask(JobRequestKind::kAsk, "/p1/", "key").kind == JobReplyKind::kBadKey);
  cr_assert(cluster.node(0).Ask(JobRequestKind::kAsk, "/p1/", "new").kind ==
            JobReplyKind::kPending);
}

Test(front_desk, key_taken_away_just_now_accepts_no_job) {
  TestCluster cluster;
  cluster.node(0).Ask(JobRequestKind::kAsk, "/p1/", "key");
  // The view counts as fresh, but the write compares the manifest.
  cluster.PutManifest(2, "new");
  cr_assert(cluster.node(0)
                .Ask(JobRequestKind::kSubmit, kPath, "key", EncodeJobBody(SmallJob().work))
                .kind == JobReplyKind::kBadKey);
}

// Found on calead-sched trouble-2: while the store was silent each request was held for a second,
// by when consumers had left.
Test(front_desk, requests_are_refused_at_once_while_the_store_is_out_of_reach) {
  TestCluster cluster;
  cluster.node(0).store().SetReachable(false);
  cluster.Run(Milliseconds(1'000));
  for (int request = 0; request < 2; ++request) {
    cr_assert(cluster.node(0).Ask(JobRequestKind::kAsk, kPath, "key").kind ==
              JobReplyKind::kUnavailable);
  }
  const Milliseconds asked_at = cluster.timers.clock().Now();
  cr_assert(cluster.node(0).Ask(JobRequestKind::kAsk, kPath, "key").kind ==
            JobReplyKind::kUnavailable);
  cr_assert(cluster.timers.clock().Now() - asked_at < Milliseconds(50));
}

// Found by meta/soak, seed 5307: the last send of a write was not cut at the deadline, and the
// answer came after the consumer had left.
Test(front_desk, submission_without_a_clear_outcome_is_answered_within_its_budget) {
  TestCluster cluster;
  cluster.node(0).Ask(JobRequestKind::kAsk, "/p1/", "key");
  cluster.node(0).store().FailNextCommits({StoreFault::kAnswerLost, StoreFault::kAnswerLost,
                                           StoreFault::kAnswerLost, StoreFault::kAnswerLost,
                                           StoreFault::kAnswerLost});
  const Milliseconds asked_at = cluster.timers.clock().Now();
  cr_assert(cluster.node(0)
                .Ask(JobRequestKind::kSubmit, kPath, "key", EncodeJobBody(SmallJob().work))
                .kind == JobReplyKind::kUnclear);
  constexpr Milliseconds kBudget{3'000};
  cr_assert(cluster.timers.clock().Now() - asked_at < kBudget);
}

Test(front_desk, requests_are_served_again_soon_after_the_store_is_back) {
  TestCluster cluster;
  cluster.node(0).store().SetReachable(false);
  cluster.Run(Milliseconds(1'000));
  for (int request = 0; request < 3; ++request) {
    cluster.node(0).Ask(JobRequestKind::kAsk, kPath, "key");
  }
  cluster.node(0).store().SetReachable(true);
  cluster.Run(Milliseconds(1'500));
  cr_assert(cluster.node(0).Ask(JobRequestKind::kAsk, kPath, "key").kind ==
            JobReplyKind::kNoSuchJob);
}

Test(front_desk, unknown_queue_and_job_are_named_so) {
  TestCluster cluster;
  cr_assert(cluster.node(0).Ask(JobRequestKind::kAsk, "/nothing/", "key").kind ==
            JobReplyKind::kNoSuchQueue);
  cr_assert(cluster.node(0).Ask(JobRequestKind::kAsk, kPath, "key").kind ==
            JobReplyKind::kNoSuchJob);
  cr_assert(cluster.node(0).Ask(JobRequestKind::kCancel, kPath, "key").kind ==
            JobReplyKind::kNoSuchJob);
}

Test(front_desk, malformed_body_is_refused) {
  TestCluster cluster;
  for (const char* const body :
       {"", "[]", "{}", R"({"phases":[]})", R"({"phases":[{"count":0}]})",
        R"({"phases":[{"count":1,"after":[0]}]})", R"({"phases":[{"count":"x"}]})",
        R"({"phases":[{"count":1,"gpu":-1}]})"}) {
    cr_expect(cluster.node(0).Ask(JobRequestKind::kSubmit, kPath, "key", body).kind ==
                  JobReplyKind::kMalformed,
              "%s", body);
  }
}

Test(front_desk, what_is_not_built_is_refused) {
  TestCluster cluster;
  cr_assert(cluster.node(0)
                .Ask(JobRequestKind::kSubmit, kPath, "key",
                     R"({"phases":[{"count":1,"longRunning":true}]})")
                .kind == JobReplyKind::kUnsupported);
}

Test(front_desk, waiting_jobs_are_counted_until_they_start) {
  TestCluster cluster;
  cluster.store.Put("op/evacuate/a", "{}");
  cluster.Submit(MakeJobId(1), SmallJob());
  cluster.Submit(MakeJobId(2), SmallJob());
  cr_assert_eq(cluster.node(0).Ask(JobRequestKind::kAsk, "/p1/", "key").pending, 2);
  cluster.node(0).Ask(JobRequestKind::kCancel, kPath, "key");
  cr_assert_eq(cluster.node(0).Ask(JobRequestKind::kAsk, "/p1/", "key").pending, 1);
  cluster.store.Remove("op/evacuate/a");
  cluster.Run(Milliseconds(500));
  cr_assert_eq(cluster.node(0).Ask(JobRequestKind::kAsk, "/p1/", "key").pending, 0);
}

// Found on the grown site: a placement that was stored and never ordered counted as begun.
Test(front_desk, job_whose_start_is_not_answered_is_still_waiting) {
  TestCluster cluster;
  for (const char* const id : {"m0", "m1", "m2", "m3"}) {
    cluster.minions.FailNextOrders(MinionId(id),
                                   {OrderFault::kLost, OrderFault::kLost, OrderFault::kLost});
  }
  cluster.Submit(MakeJobId(1), SmallJob());
  cluster.Run(Milliseconds(1'000));
  cr_assert_eq(cluster.minions.starts(), 0);
  cr_assert_eq(cluster.node(0).Ask(JobRequestKind::kAsk, "/p1/", "key").pending, 1);
  cluster.Run(Milliseconds(8'000));
  cr_assert_eq(cluster.node(0).Ask(JobRequestKind::kAsk, "/p1/", "key").pending, 0);
}

Test(front_desk, cancelled_job_is_shown_so_at_once) {
  TestCluster cluster(2);
  cluster.Submit(MakeJobId(1), SmallJob());
  cluster.Run(Milliseconds(100));
  cluster.node(0).Ask(JobRequestKind::kCancel, kPath, "key");
  cr_assert(cluster.node(1).Ask(JobRequestKind::kAsk, kPath, "key").state == WorkState::kCancelled);
}

Test(front_desk, store_out_of_reach_is_refused_as_not_run) {
  TestCluster cluster;
  cluster.Run(Milliseconds(1'000));
  cluster.node(0).store().SetReachable(false);
  cr_assert(cluster.node(0)
                .Ask(JobRequestKind::kSubmit, kPath, "key", EncodeJobBody(SmallJob().work))
                .kind == JobReplyKind::kUnavailable);
  cluster.node(0).store().SetReachable(true);
  cluster.Run(Milliseconds(6'000));
  cr_assert(cluster.node(0).Ask(JobRequestKind::kAsk, kPath, "key").kind ==
            JobReplyKind::kNoSuchJob);
}

// Found on the incidents: a refusal could not be found in the logs by its job's id.
Test(front_desk, refusal_names_its_job) {
  TestCluster cluster;
  cluster.Run(Milliseconds(1'000));
  cluster.node(0).store().SetReachable(false);
  cr_assert(cluster.node(0)
                .Ask(JobRequestKind::kSubmit, kPath, "key", EncodeJobBody(SmallJob().work))
                .job == MakeJobId(1));
}

Test(front_desk, submission_without_answer_is_never_called_not_run) {
  TestCluster cluster;
  cluster.node(0).Ask(JobRequestKind::kAsk, "/p1/", "key");
  cluster.node(0).store().FailNextCommits(
      {StoreFault::kAnswerLost, StoreFault::kRefused, StoreFault::kRefused});
  cluster.minions.Know(MakeJobId(1), SmallJob());
  const JobReply reply =
      cluster.node(0).Ask(JobRequestKind::kSubmit, kPath, "key", EncodeJobBody(SmallJob().work));
  cr_assert(reply.kind == JobReplyKind::kAccepted || reply.kind == JobReplyKind::kUnclear);
}

}  // namespace papayalift
