#include <criterion/criterion.h>

#include "leader/test_cluster.h"
#include "libraries/journal/job_progress_codec.h"
#include "libraries/journal/journal_keys.h"

namespace papayalift {

namespace {

/// Two nodes and four minions; the accepted record of a running job is gone, and no node leads.
struct OrphanCluster : TestCluster {
  OrphanCluster() : TestCluster(2, 4) {}

  void OrphanJobOf(Milliseconds duration) {
    RegisteredJob job;
    job.work.steps = {MakeStep(1, 1)};
    job.duration = duration;
    Submit(orphan, job);
    Run(Milliseconds(500));
    cr_assert_eq(minions.starts(orphan), 1);
    Kill(0);
    Kill(1);
    store.Remove(AcceptedKey(orphan));
  }
  void RestartAll() {
    Restart(0);
    Restart(1);
    Run(Milliseconds(3'000));
    cr_assert_not_null(leader());
  }
  void ExpectOtherJobDone() {
    RegisteredJob job;
    job.work.steps = {MakeStep(1, 1)};
    Submit(MakeJobId(2), job);
    Run(Milliseconds(3'000));
    cr_assert(StateOf(MakeJobId(2)) == WorkState::kDone);
  }

  const JobId orphan = MakeJobId(1);
};

}  // namespace

// Each leader ended by a segmentation fault as a minion listed the end of such a job (review/2).
Test(orphaned_progress, whose_run_has_ended_does_not_end_the_leader) {
  OrphanCluster cluster;
  cluster.OrphanJobOf(Milliseconds(1'000));
  cluster.Run(Milliseconds(2'000));
  cluster.RestartAll();
  cluster.ExpectOtherJobDone();
  cr_assert_null(cluster.store.Find(ProgressKey(cluster.orphan)));
  cr_assert_eq(cluster.minions.starts(cluster.orphan), 1);
}

Test(orphaned_progress, whose_run_is_active_is_stopped_and_removed) {
  OrphanCluster cluster;
  cluster.OrphanJobOf(Milliseconds(60'000));
  cluster.RestartAll();
  cr_assert(cluster.minions.RunningOn(cluster.orphan).empty());
  cluster.ExpectOtherJobDone();
  cr_assert_null(cluster.store.Find(ProgressKey(cluster.orphan)));
}

// A job accepted under the id of a former one was shown as done without having run.
Test(orphaned_progress, of_a_job_accepted_again_under_its_id_is_not_taken_for_its_own) {
  TestCluster cluster(2, 4);
  const JobId id = MakeJobId(1);
  JobProgress former;
  former.state = WorkState::kDone;
  former.steps.resize(1);
  former.steps[0].tasks.resize(1);
  former.steps[0].tasks[0].phase = TaskPhase::kDone;
  cluster.Kill(cluster.leader_index());
  cluster.store.Put(ProgressKey(id), EncodeJobProgress(former));
  RegisteredJob job;
  job.work.steps = {MakeStep(1, 1)};
  cluster.Submit(id, job);
  cluster.Run(Milliseconds(5'000));
  cr_assert(cluster.StateOf(id) == WorkState::kDone);
  cr_assert_eq(cluster.minions.starts(id), 1);
}

}  // namespace papayalift
