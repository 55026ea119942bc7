#include "libraries/job_requests/job_access.h"

#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

const JobId kJob = MakeJobId(1);
const std::string kPath = "/p1/" + kJob.text();

/// Two nodes, and the workspaces "shop" with the key "key" and "yard" with the key "other". A job
/// of "shop" runs.
struct TwoWorkspaces : TestCluster {
  TwoWorkspaces() : TestCluster(2) {
    PutManifestOfTwoWorkspaces(2);
    Run(Milliseconds(500));
    job.work.steps = {MakeStep(1, 1)};
    job.duration = Milliseconds(5'000);
    cr_assert(Submit(kJob, job).kind == JobReplyKind::kAccepted);
    Run(Milliseconds(500));
  }

  JobReply Ask(JobRequestKind kind, const std::string& key, const std::string& body = "") {
    return node(1).Ask(kind, kPath, key, body);
  }

  RegisteredJob job;
};

AcceptedJob JobOf(const std::string& workspace) {
  AcceptedJob job;
  job.queue = QueueId("q");
  job.workspace = WorkspaceId(workspace);
  return job;
}

QueueSpec Queue(const std::string& id, bool needs_key) {
  QueueSpec queue;
  queue.id = QueueId(id);
  queue.needs_key = needs_key;
  return queue;
}

}  // namespace

Test(job_access, is_given_to_its_own_workspace_and_to_queues_without_keys) {
  const QueueSpec keyed = Queue("q", true);
  cr_expect(MayAccess(JobOf("shop"), WorkspaceId("shop"), keyed));
  cr_expect_not(MayAccess(JobOf("shop"), WorkspaceId("yard"), keyed));
  cr_expect(MayAccess(JobOf(""), WorkspaceId("yard"), keyed), "submitted without a key");
  cr_expect(MayAccess(JobOf("shop"), WorkspaceId(), Queue("q", false)), "its queue needs no key");
  cr_expect_not(MayAccess(JobOf("shop"), WorkspaceId(), Queue("other", false)));
}

// A key of any workspace read the jobs of all.
Test(job_access, key_of_another_workspace_is_told_what_it_is_told_of_no_job) {
  TwoWorkspaces cluster;
  cr_expect(cluster.Ask(JobRequestKind::kQuery, "other").kind == JobReplyKind::kNoSuchJob);
  cr_expect(cluster.Ask(JobRequestKind::kQuery, "key").kind == JobReplyKind::kState);
}

// A key of any workspace cancelled the jobs of all.
Test(job_access, key_of_another_workspace_cancels_nothing) {
  TwoWorkspaces cluster;
  cr_expect(cluster.Ask(JobRequestKind::kCancel, "other").kind == JobReplyKind::kNoSuchJob);
  cluster.Run(Milliseconds(8'000));
  cr_expect(cluster.StateOf(kJob) == WorkState::kDone);
  cr_expect_eq(cluster.minions.starts(kJob), 1);
}

// A submission under the id of another workspace's job was answered as accepted, and never ran.
Test(job_access, submission_under_the_id_of_another_workspace_is_refused_as_not_run) {
  TwoWorkspaces cluster;
  const std::string body = EncodeJobBody(cluster.job.work);
  cr_expect(cluster.Ask(JobRequestKind::kSubmit, "other", body).kind == JobReplyKind::kIdTaken);
  cr_expect(cluster.Ask(JobRequestKind::kSubmit, "key", body).kind == JobReplyKind::kAccepted);
}

// A key of another workspace could withdraw an id before its owner submitted it.
Test(job_access, withdrawal_holds_against_its_own_workspace_alone) {
  TestCluster cluster(2);
  cluster.PutManifestOfTwoWorkspaces(2);
  cluster.Run(Milliseconds(500));
  cr_assert(cluster.node(0).Ask(JobRequestKind::kCancel, kPath, "other").kind ==
            JobReplyKind::kNoSuchJob);
  RegisteredJob job;
  job.work.steps = {MakeStep(1, 1)};
  const std::string body = EncodeJobBody(job.work);
  cr_expect(cluster.node(1).Ask(JobRequestKind::kSubmit, kPath, "other", body).kind ==
            JobReplyKind::kWithdrawn);
  cr_expect(cluster.Submit(kJob, job).kind == JobReplyKind::kAccepted);
  cluster.Run(Milliseconds(3'000));
  cr_expect(cluster.StateOf(kJob) == WorkState::kDone);
}

// A key that moved to another workspace, or was withdrawn, takes its access with it.
Test(job_access, key_moved_or_withdrawn_no_longer_reads_the_job) {
  TwoWorkspaces cluster;
  cluster.PutManifest(3, "new");
  cluster.Run(Milliseconds(500));
  cr_expect(cluster.Ask(JobRequestKind::kQuery, "key").kind == JobReplyKind::kBadKey);
  cr_expect(cluster.Ask(JobRequestKind::kQuery, "new").kind == JobReplyKind::kState,
            "the workspace has a new key");
}

}  // namespace papayalift
