#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

constexpr Milliseconds kBudget{2'000};
/// Longer than any request may take.
constexpr Milliseconds kPatience{8'000};
const std::string kPath = "/p1/" + MakeJobId(1).text();

RegisteredJob SmallJob() {
  RegisteredJob job;
  job.work.steps = {MakeStep(1, 1)};
  job.duration = Milliseconds(5'000);
  return job;
}

/// What the consumer of one request has seen of its replies.
struct SeenReplies {
  int count = 0;
  JobReply first;
  Milliseconds first_after{0};
};
using SeenRepliesPointer = std::shared_ptr<SeenReplies>;

SeenRepliesPointer Send(TestCluster& cluster, ClusterNode& node, JobRequestKind kind,
                        Milliseconds budget = kBudget) {
  SeenRepliesPointer seen = std::make_shared<SeenReplies>();
  const Milliseconds sent_at = cluster.timers.clock().Now();
  JobRequest request;
  request.kind = kind;
  request.host = "host";
  request.path = kPath;
  request.key = "key";
  request.body = EncodeJobBody(SmallJob().work);
  request.budget = budget;
  node.request_handler().Handle(request, [&cluster, seen, sent_at](const JobReply& reply) {
    if (++seen->count == 1) {
      seen->first = reply;
      seen->first_after = cluster.timers.clock().Now() - sent_at;
    }
  });
  return seen;
}

/// A node that does not lead, so that nothing but requests confirms its view of the manifest.
ClusterNode& Follower(TestCluster& cluster) { return cluster.node(1 - cluster.leader_index()); }

void AssertNeverRun(TestCluster& cluster) {
  cluster.Run(kPatience);
  cr_assert_eq(cluster.minions.starts(MakeJobId(1)), 0);
  cr_assert(Follower(cluster).Ask(JobRequestKind::kQuery, kPath, "key").kind ==
            JobReplyKind::kNoSuchJob);
}

}  // namespace

Test(job_request_deadline, request_while_store_is_slow_is_answered_once_within_its_budget) {
  for (const JobRequestKind kind :
       {JobRequestKind::kQuery, JobRequestKind::kCancel, JobRequestKind::kSubmit}) {
    for (const int delay : {100, 300, 400, 475, 499}) {
      TestCluster cluster(2);
      cluster.Submit(MakeJobId(1), SmallJob());
      cluster.Run(Milliseconds(1'000));
      Follower(cluster).store().SetNetworkDelay(Milliseconds(delay));
      const SeenRepliesPointer seen = Send(cluster, Follower(cluster), kind);
      cluster.Run(kPatience);
      cr_expect_eq(seen->count, 1);
      cr_expect(seen->first_after < kBudget, "%d ms one way: answered after %d ms", delay,
                static_cast<int>(seen->first_after.count()));
    }
  }
}

Test(job_request_deadline, submission_whose_manifest_changes_is_answered_within_its_budget) {
  constexpr Milliseconds kSubmissionBudget{3'000};
  TestCluster cluster(2);
  cluster.minions.RegisterJob(MakeJobId(1), SmallJob());
  Follower(cluster).store().SetNetworkDelay(Milliseconds(490));
  const SeenRepliesPointer seen =
      Send(cluster, Follower(cluster), JobRequestKind::kSubmit, kSubmissionBudget);
  cluster.Run(Milliseconds(1'000));
  cluster.PutManifest(2);
  cluster.Run(kPatience);
  cr_assert_eq(seen->count, 1);
  cr_assert(seen->first_after < kSubmissionBudget);
  cr_assert(seen->first.kind == JobReplyKind::kUnavailable);
  AssertNeverRun(cluster);
}

Test(job_request_deadline, submission_refused_at_its_deadline_is_never_run) {
  TestCluster cluster(2);
  cluster.minions.RegisterJob(MakeJobId(1), SmallJob());
  Follower(cluster).store().SetNetworkDelay(Milliseconds(450));
  const SeenRepliesPointer seen =
      Send(cluster, Follower(cluster), JobRequestKind::kSubmit, Milliseconds(600));
  cluster.Run(kPatience);
  cr_assert_eq(seen->count, 1);
  cr_assert(seen->first.kind == JobReplyKind::kUnavailable);
  AssertNeverRun(cluster);
}

Test(job_request_deadline, request_without_any_store_answer_is_refused_once_within_its_budget) {
  for (const JobRequestKind kind :
       {JobRequestKind::kQuery, JobRequestKind::kCancel, JobRequestKind::kSubmit}) {
    TestCluster cluster(2);
    cluster.Run(Milliseconds(1'000));
    Follower(cluster).store().SetReachable(false);
    const SeenRepliesPointer seen = Send(cluster, Follower(cluster), kind);
    cluster.Run(kPatience);
    cr_expect_eq(seen->count, 1);
    cr_expect(seen->first.kind == JobReplyKind::kUnavailable);
    cr_expect(seen->first_after < kBudget);
  }
}

Test(job_request_deadline, query_while_store_rejects_everything_is_refused_within_its_budget) {
  constexpr int kMany = 1'000;
  TestCluster cluster(2);
  cluster.Run(Milliseconds(1'000));
  Follower(cluster).store().FailNextCommits(std::deque<StoreFault>(kMany, StoreFault::kRefused));
  Follower(cluster).store().RefuseNextReads(kMany);
  const SeenRepliesPointer seen = Send(cluster, Follower(cluster), JobRequestKind::kQuery);
  cluster.Run(kPatience);
  cr_assert_eq(seen->count, 1);
  cr_assert(seen->first.kind == JobReplyKind::kUnavailable);
  cr_assert(seen->first_after < kBudget);
}

// Found at the end of a day on calead-sched-grown, when hundreds of queries arrive within a second.
Test(job_request_deadline, query_whose_reads_are_rejected_for_a_moment_is_answered) {
  for (const int reads : {1, 2, 3, 4}) {
    TestCluster cluster(2);
    cluster.Submit(MakeJobId(1), SmallJob());
    cluster.Run(Milliseconds(1'000));
    Follower(cluster).store().RefuseNextReads(reads);
    const SeenRepliesPointer seen = Send(cluster, Follower(cluster), JobRequestKind::kQuery);
    cluster.Run(kPatience);
    cr_expect_eq(seen->count, 1);
    cr_expect(seen->first.kind == JobReplyKind::kState, "%d reads rejected", reads);
    cr_expect(seen->first_after < kBudget);
  }
}

Test(job_request_deadline, request_whose_read_is_lost_is_answered) {
  for (const JobRequestKind kind : {JobRequestKind::kQuery, JobRequestKind::kCancel}) {
    TestCluster cluster(2);
    ClusterNode& follower = Follower(cluster);
    cluster.Submit(MakeJobId(1), SmallJob());
    cluster.Run(Milliseconds(1'000));
    follower.Ask(JobRequestKind::kQuery, "/p1/", "key");
    follower.store().SetReachable(false);
    const SeenRepliesPointer seen = Send(cluster, follower, kind);
    cluster.Run(Milliseconds(10));
    follower.store().SetReachable(true);
    cluster.Run(kPatience);
    cr_expect_eq(seen->count, 1);
    cr_expect(seen->first.kind ==
              (kind == JobRequestKind::kQuery ? JobReplyKind::kState : JobReplyKind::kCancelled));
    cr_expect(seen->first_after < kBudget);
  }
}

Test(job_request_deadline, query_whose_reads_stay_unanswered_is_refused_within_its_budget) {
  TestCluster cluster(2);
  ClusterNode& follower = Follower(cluster);
  cluster.Submit(MakeJobId(1), SmallJob());
  constexpr int kMany = 1'000;
  follower.store().RefuseNextReads(kMany);
  const SeenRepliesPointer seen = Send(cluster, follower, JobRequestKind::kQuery);
  cluster.Run(kPatience);
  cr_assert_eq(seen->count, 1);
  cr_assert(seen->first.kind == JobReplyKind::kUnavailable);
  cr_assert(seen->first_after < kBudget);
}

Test(job_request_deadline, queries_at_a_node_that_has_just_started_are_all_answered) {
  constexpr int kQueries = 300;
  TestCluster cluster(2);
  cluster.Submit(MakeJobId(1), SmallJob());
  cluster.Kill(0);
  cluster.Kill(1);
  cluster.store.CompactHistory();
  cluster.Restart(0);
  std::vector<SeenRepliesPointer> queries;
  queries.reserve(kQueries);
  for (int query = 0; query < kQueries; ++query) {
    queries.push_back(Send(cluster, cluster.node(0), JobRequestKind::kQuery));
  }
  cluster.Run(kBudget);
  for (const SeenRepliesPointer& seen : queries) {
    cr_assert_eq(seen->count, 1);
    cr_assert(seen->first.kind == JobReplyKind::kState);
  }
}

}  // namespace papayalift
