#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <deque>
#include <iterator>
#include <optional>

#include "leader/test_cluster.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/journal/withdrawal_record.h"

namespace papayalift {

namespace {

const JobId kJob = MakeJobId(1);
const std::string kPath = "/p1/" + kJob.text();
/// Time after an acknowledged cancellation within which a task may still start.
constexpr Milliseconds kCancelBound{3'000};

RegisteredJob SmallJob() {
  RegisteredJob job;
  job.work.steps = {MakeStep(1, 1)};
  return job;
}

constexpr Milliseconds kMaxTimeKept = kWithdrawalLifetime + Milliseconds(10'000);

/// The withdrawals in all records.
std::size_t WithdrawalsIn(const TestCluster& cluster) {
  std::size_t sum = 0;
  for (const StoreItem& item : cluster.store.ItemsBelow(kWithdrawalsPrefix)) {
    sum += WithdrawalRecord::Decode(item.value)->size();
  }
  return sum;
}

JobReplyKind SubmitAt(TestCluster& cluster, std::size_t node) {
  cluster.minions.RegisterJob(kJob, SmallJob());
  return cluster.node(node)
      .Ask(JobRequestKind::kSubmit, kPath, "key", EncodeJobBody(SmallJob().work))
      .kind;
}

JobReplyKind CancelAt(TestCluster& cluster, std::size_t node) {
  return cluster.node(node).Ask(JobRequestKind::kCancel, kPath, "key").kind;
}

/// The consumer does not wait for the reply.
void SubmitAndLeave(TestCluster& cluster, std::size_t node) {
  cluster.minions.RegisterJob(kJob, SmallJob());
  JobRequest request;
  request.kind = JobRequestKind::kSubmit;
  request.host = "host";
  request.path = kPath;
  request.key = "key";
  request.body = EncodeJobBody(SmallJob().work);
  cluster.node(node).request_handler().Handle(request, [](const JobReply&) {});
}

/// Confirms the node's manifest, so that its next commit is the request's own.
void Refresh(TestCluster& cluster, std::size_t node) {
  cluster.node(node).Ask(JobRequestKind::kQuery, "/p1/", "key");
}

void ExpectNeverStarted(TestCluster& cluster) {
  cluster.Run(Milliseconds(15'000));
  cr_expect_eq(cluster.minions.starts(kJob), 0);
  cr_expect(cluster.node(1).Ask(JobRequestKind::kQuery, kPath, "key").kind ==
            JobReplyKind::kNoSuchJob);
}

/// A number from `first` to before `end`, whatever the size of the test case.
int Pick(int first, int end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(first, end));
}

/// Submissions and cancellations of one job at two nodes, with late, lost and refused writes and
/// slow nodes between them.
class RandomRequests {
 public:
  void Play() {
    const int steps = Pick(2, 12);
    for (int step = 0; step < steps; ++step) {
      static constexpr void (RandomRequests::*kActions[])(std::size_t) = {
          &RandomRequests::FailWrites, &RandomRequests::SlowDown, &RandomRequests::Wait,
          &RandomRequests::Submit,     &RandomRequests::Cancel,   &RandomRequests::EndLeases,
          &RandomRequests::KillLeader};
      const std::size_t node = static_cast<std::size_t>(Pick(0, 2));
      (this->*kActions[Pick(0, static_cast<int>(std::size(kActions)))])(node);
    }
    m_cluster.Run(Milliseconds(15'000));
  }

  void Check() {
    if (m_cancelled_at.has_value() && m_cluster.minions.starts(kJob) > 0) {
      RC_ASSERT(m_cluster.minions.Records().at(kJob).last_order_at <=
                *m_cancelled_at + kCancelBound);
    }
    if (m_is_withdrawn) {
      RC_ASSERT(m_cluster.store.Find(AcceptedKey(kJob)) == nullptr);
    }
    RC_ASSERT(m_cluster.minions.violations().empty());
  }

 private:
  void FailWrites(std::size_t node) {
    Refresh(m_cluster, node);
    std::deque<StoreFault> faults;
    for (int fault = Pick(0, 6); fault > 0; --fault) {
      faults.push_back(*rc::gen::element(StoreFault::kNone, StoreFault::kAppliedLate,
                                         StoreFault::kAnswerLost, StoreFault::kRefused));
    }
    m_cluster.node(node).store().FailNextCommits(faults);
  }
  void SlowDown(std::size_t node) {
    Refresh(m_cluster, node);
    m_cluster.node(node).store().SetNetworkDelay(Milliseconds(*rc::gen::element(2, 400, 3'000)));
  }
  /// As an outage of the store may, under which also the term lies.
  void EndLeases(std::size_t /*node*/) { m_cluster.store.EndAllLeases(); }
  void KillLeader(std::size_t /*node*/) {
    const std::size_t leader = m_cluster.leader_index();
    if (leader < m_cluster.size()) {
      m_cluster.Kill(leader);
      m_cluster.Restart(leader);
      m_cluster.Run(Milliseconds(1'000));
    }
  }
  void Wait(std::size_t /*node*/) { m_cluster.Run(Milliseconds(Pick(0, 4'000))); }
  void Submit(std::size_t node) {
    m_cancelled_at.reset();
    m_is_withdrawn = false;
    SubmitAndLeave(m_cluster, node);
    m_cluster.Run(Milliseconds(Pick(0, 1'000)));
  }
  void Cancel(std::size_t node) {
    const JobReplyKind kind = CancelAt(m_cluster, node);
    if (kind == JobReplyKind::kNoSuchJob || kind == JobReplyKind::kCancelled) {
      m_cancelled_at = m_cancelled_at.value_or(m_cluster.timers.clock().Now());
      m_is_withdrawn = kind == JobReplyKind::kNoSuchJob;
    }
  }

  TestCluster m_cluster{2};
  /// When the job was cancelled, since its last submission.
  std::optional<Milliseconds> m_cancelled_at;
  /// The cancellation was answered with "no such job", and nothing was submitted since.
  bool m_is_withdrawn = false;
};

}  // namespace

// A write of the submission that the store carried out late made a job run after its cancellation
// was answered 410 (review/5).
Test(withdrawn_job, whose_submission_is_written_late_is_not_stored) {
  TestCluster cluster(2);
  Refresh(cluster, 0);
  cluster.node(0).store().FailNextCommits(std::deque<StoreFault>(8, StoreFault::kAppliedLate));
  SubmitAndLeave(cluster, 0);
  cluster.Run(Milliseconds(500));
  cr_assert(CancelAt(cluster, 1) == JobReplyKind::kNoSuchJob);
  ExpectNeverStarted(cluster);
}

// The withdrawal lay under a store lease, and leases may run out while the store is down
// (review/9).
Test(withdrawn_job, whose_submission_is_written_late_after_all_leases_ended_is_not_stored) {
  TestCluster cluster(2);
  Refresh(cluster, 0);
  cluster.node(0).store().FailNextCommits(std::deque<StoreFault>(8, StoreFault::kAppliedLate));
  SubmitAndLeave(cluster, 0);
  cluster.Run(Milliseconds(500));
  cr_assert(CancelAt(cluster, 1) == JobReplyKind::kNoSuchJob);
  cluster.Run(Milliseconds(500));
  cluster.store.EndAllLeases();
  ExpectNeverStarted(cluster);
}

Test(withdrawn_job, is_refused_after_all_leases_ended) {
  TestCluster cluster(2);
  cr_assert(CancelAt(cluster, 0) == JobReplyKind::kNoSuchJob);
  cluster.store.EndAllLeases();
  cluster.Run(Milliseconds(2'000));
  cr_assert(SubmitAt(cluster, 1) == JobReplyKind::kWithdrawn);
  ExpectNeverStarted(cluster);
}

// No wall clock tells how long a withdrawal is kept.
Test(withdrawal_record, is_encoded_without_times_of_day_and_ages_as_told) {
  WithdrawalRecord record;
  cr_assert_not(record.Add(MakeWithdrawal(kJob, WorkspaceId("shop"), 1)).has_value());
  record.Advance(kWithdrawalLifetime - Milliseconds(1));
  const absl::StatusOr<WithdrawalRecord> decoded = WithdrawalRecord::Decode(record.Encode());
  cr_assert(decoded->Contains(kJob, WorkspaceId("shop")));
  cr_assert_not(decoded->Contains(kJob, WorkspaceId("yard")));
  record.Advance(Milliseconds(1));
  cr_assert_eq(record.size(), 0);
}

Test(withdrawal_record, has_room_for_other_workspaces_and_tells_when_there_is_more) {
  WithdrawalRecord record;
  const auto add = [&record](int number, const std::string& workspace) {
    return record.Add(MakeWithdrawal(MakeJobId(number), WorkspaceId(workspace), 1));
  };
  int stored = 0;
  while (!add(stored, "shop").has_value()) {
    ++stored;
  }
  cr_assert_eq(stored, static_cast<int>(WithdrawalRecord::kMaxWithdrawalsOfWorkspace));
  cr_assert_not(add(stored, "yard").has_value());
  record.Advance(Milliseconds(30'000));
  cr_assert_eq(add(stored, "shop").value().count(), kWithdrawalLifetime.count() - 30'000);
}

// The record that a withdrawal shares with other jobs changes under their submissions.
Test(withdrawn_job, fails_no_submission_of_another_job) {
  TestCluster cluster(2);
  for (int number = 1'000; number < 1'050; ++number) {
    const std::string withdrawn = "/p1/" + MakeJobId(2 * number).text();
    cr_assert(cluster.node(1).Ask(JobRequestKind::kCancel, withdrawn, "key").kind ==
              JobReplyKind::kNoSuchJob);
    cr_assert(cluster.Submit(MakeJobId(2 * number + 1), SmallJob()).kind ==
              JobReplyKind::kAccepted);
  }
}

// The same for a node that stood still with the submission (review/5, VARIANT=freeze).
Test(withdrawn_job, whose_submission_waits_in_a_paused_node_is_not_stored) {
  TestCluster cluster(2);
  Refresh(cluster, 0);
  cluster.node(0).store().SetNetworkDelay(Milliseconds(5'000));
  SubmitAt(cluster, 0);
  cr_assert(CancelAt(cluster, 1) == JobReplyKind::kNoSuchJob);
  ExpectNeverStarted(cluster);
}

Test(withdrawn_job, submitted_after_its_cancellation_is_refused_as_not_run) {
  TestCluster cluster(2);
  cr_assert(CancelAt(cluster, 0) == JobReplyKind::kNoSuchJob);
  cr_assert(SubmitAt(cluster, 1) == JobReplyKind::kWithdrawn);
  ExpectNeverStarted(cluster);
}

// A repeated cancellation is a promise of its own, and the first one's record may be about to end.
Test(withdrawn_job, cancelled_again_is_kept_for_as_long_from_then_on) {
  TestCluster cluster(2);
  cr_assert(CancelAt(cluster, 0) == JobReplyKind::kNoSuchJob);
  cluster.Run(Milliseconds(60'000));
  cr_assert(CancelAt(cluster, 1) == JobReplyKind::kNoSuchJob);
  cr_assert_eq(WithdrawalsIn(cluster), 1);
  cluster.Run(kWithdrawalLifetime - Milliseconds(1'000));
  cr_assert_eq(WithdrawalsIn(cluster), 1);
  cluster.Run(kMaxTimeKept - kWithdrawalLifetime + Milliseconds(2'000));
  cr_assert_eq(WithdrawalsIn(cluster), 0);
}

// Its age started anew with each leader.
Test(withdrawn_job, is_forgotten_after_a_while_whoever_leads_and_may_be_submitted_then) {
  TestCluster cluster(2);
  CancelAt(cluster, 0);
  cluster.Run(Milliseconds(60'000));
  const std::size_t leader = cluster.leader_index();
  cluster.Kill(leader);
  cluster.Run(Milliseconds(10'000));
  cluster.Restart(leader);
  cr_assert(SubmitAt(cluster, 1 - leader) == JobReplyKind::kWithdrawn);
  cluster.Run(kMaxTimeKept - Milliseconds(70'000));
  cr_assert_eq(WithdrawalsIn(cluster), 0);
  cr_assert(SubmitAt(cluster, 1 - leader) == JobReplyKind::kAccepted);
  cluster.Run(Milliseconds(3'000));
  cr_assert_eq(cluster.minions.starts(kJob), 1);
}

// The load: one consumer cancels random ids for 15 s. Each left a record that the leader held.
Test(withdrawn_job, many_cancellations_of_unknown_jobs_are_bounded_and_delay_no_other) {
  TestCluster cluster(3);
  cluster.PutManifestOfTwoWorkspaces(2);
  cluster.Run(Milliseconds(500));
  int answered = 0;
  int refused = 0;
  for (int number = 100; number < 1'600; ++number) {
    const std::size_t node = static_cast<std::size_t>(number % 3);
    const JobReply reply =
        cluster.node(node).Ask(JobRequestKind::kCancel, "/p1/" + MakeJobId(number).text(), "key");
    answered += reply.kind == JobReplyKind::kNoSuchJob ? 1 : 0;
    refused += reply.kind == JobReplyKind::kTooManyCancellations ? 1 : 0;
    cr_assert(reply.kind != JobReplyKind::kTooManyCancellations || reply.retry_after.count() > 0);
    cluster.Run(Milliseconds(2));
  }
  cr_assert_eq(answered + refused, 1'500);
  cr_assert_eq(WithdrawalsIn(cluster), static_cast<std::size_t>(answered));
  const double limit =
      3 * (WithdrawalLimits{}.workspace_burst + WithdrawalLimits{}.workspace_rate * 15);
  cr_assert_leq(answered, limit);
  cr_assert(cluster.leader()->session()->state().jobs.empty());
  const Milliseconds asked_at = cluster.timers.clock().Now();
  cr_assert(cluster.node(0).Ask(JobRequestKind::kCancel, kPath, "other").kind ==
            JobReplyKind::kNoSuchJob);
  cr_assert_lt((cluster.timers.clock().Now() - asked_at).count(), 200);
}

// A node that stood still must not store what its consumer has left long ago.
Test(withdrawn_job, submitted_at_a_node_that_stood_still_beyond_its_budget_is_not_stored) {
  TestCluster cluster(2);
  // The node's manifest is to be confirmed first, and the answer waits while the node stands still.
  cluster.Run(Milliseconds(1'000));
  SubmitAndLeave(cluster, 0);
  cluster.timers.Pause(Milliseconds(5'000));
  cluster.Run(Milliseconds(5'000));
  cr_assert_null(cluster.store.Find(AcceptedKey(kJob)));
}

Test(withdrawn_job, any_sequence_of_requests_starts_nothing_that_is_cancelled) {
  cr_assert(rc::check("no start later than the bound after the acknowledged cancellation", [] {
    RandomRequests requests;
    requests.Play();
    requests.Check();
  }));
}

}  // namespace papayalift
