#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <deque>
#include <optional>

#include "leader/test_cluster.h"
#include "libraries/journal/journal_keys.h"

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

LeaderSettings SettingsWithRetention(Milliseconds retention) {
  LeaderSettings settings;
  settings.retention = retention;
  return settings;
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
          &RandomRequests::Submit, &RandomRequests::Cancel};
      const std::size_t node = static_cast<std::size_t>(Pick(0, 2));
      (this->*kActions[Pick(0, 5)])(node);
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

Test(withdrawn_job, cancelled_again_is_not_written_again) {
  TestCluster cluster(2);
  cr_assert(CancelAt(cluster, 0) == JobReplyKind::kNoSuchJob);
  const Revision revision = cluster.store.Find(CancelKey(kJob))->revision;
  cr_assert(CancelAt(cluster, 1) == JobReplyKind::kNoSuchJob);
  cr_assert(cluster.store.Find(CancelKey(kJob))->revision == revision);
}

Test(withdrawn_job, is_forgotten_after_a_while_and_may_be_submitted_then) {
  TestCluster cluster(2, 4, SettingsWithRetention(Milliseconds(5'000)));
  CancelAt(cluster, 0);
  cluster.Run(Milliseconds(7'000));
  cr_assert_null(cluster.store.Find(CancelKey(kJob)));
  cr_assert(SubmitAt(cluster, 1) == JobReplyKind::kAccepted);
  cluster.Run(Milliseconds(3'000));
  cr_assert_eq(cluster.minions.starts(kJob), 1);
}

Test(withdrawn_job, any_sequence_of_requests_starts_nothing_that_is_cancelled) {
  cr_assert(rc::check("no start later than the bound after the acknowledged cancellation", [] {
    RandomRequests requests;
    requests.Play();
    requests.Check();
  }));
}

}  // namespace papayalift
