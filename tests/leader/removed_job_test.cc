#include <criterion/criterion.h>

#include "leader/test_cluster.h"
#include "libraries/journal/journal_keys.h"

namespace papayalift {

namespace {

constexpr Milliseconds kRetention{5'000};
constexpr Milliseconds kHeartbeatInterval{200};

LeaderSettings SettingsWithRetention() {
  LeaderSettings settings;
  settings.retention = kRetention;
  return settings;
}

/// One node and four minions; jobs are removed a few seconds after their end.
struct RemovalCluster : TestCluster {
  RemovalCluster() : TestCluster(1, 4, SettingsWithRetention()) {}

  void RunFor(Milliseconds time) { RunWithHeartbeats(time, kHeartbeatInterval); }
  void SubmitAndFinish() {
    RegisteredJob job;
    job.work.steps = {MakeStep(1, 1)};
    Submit(id, job);
    RunFor(Milliseconds(2'000));
    cr_assert(StateOf(id) == WorkState::kDone);
  }
  bool has_records() const {
    return store.Find(AcceptedKey(id)) != nullptr || store.Find(ProgressKey(id)) != nullptr;
  }
  void ExpectNoViolations() const {
    for (const std::string& violation : minions.violations()) {
      cr_expect(false, "%s", violation.c_str());
    }
  }

  const JobId id = MakeJobId(1);
};

}  // namespace

// A read of all jobs that was sent before the removal and answered after it made done jobs run
// again (review/1).
Test(removed_job, listed_by_a_read_that_overlaps_its_removal_is_not_started_again) {
  RemovalCluster cluster;
  cluster.SubmitAndFinish();
  cluster.RunFor(Milliseconds(3'000));
  cluster.node(0).store().SetWatchesSilent(true);
  cluster.RunFor(Milliseconds(3'000));
  cluster.node(0).store().SetWatchesSilent(false);
  cr_assert_not(cluster.has_records());
  cluster.RunFor(Milliseconds(10'000));
  cr_assert_eq(cluster.minions.starts(cluster.id), 1);
  cr_assert_not(cluster.has_records());
  cluster.ExpectNoViolations();
}

// The write of a placement did not compare the accepted record, so a removed job could run.
Test(removed_job, whose_record_is_gone_before_its_placement_is_stored_is_not_started) {
  RemovalCluster cluster;
  for (int number = 0; number < 4; ++number) {
    cluster.minions.SetCapacity(MinionId("m" + std::to_string(number)), Resources{},
                                Publication::kAtOnce);
  }
  cluster.RunFor(Milliseconds(1'000));
  RegisteredJob job;
  job.work.steps = {MakeStep(1, 1)};
  cluster.Submit(cluster.id, job);
  cluster.RunFor(Milliseconds(1'000));
  cluster.store.Remove(AcceptedKey(cluster.id));
  cluster.minions.SetCapacity(MinionId("m0"), Resources{8'000, 8'000, 8}, Publication::kAtOnce);
  cluster.RunFor(Milliseconds(5'000));
  cr_assert_eq(cluster.minions.starts(cluster.id), 0);
  cr_assert_not(cluster.has_records());
}

Test(removed_job, whose_removal_is_not_answered_stays_removed_under_the_same_term) {
  for (const StoreFault fault :
       {StoreFault::kRefused, StoreFault::kAnswerLost, StoreFault::kAppliedLate}) {
    RemovalCluster cluster;
    cluster.SubmitAndFinish();
    const Revision term = cluster.leader()->session()->state().term.revision;
    cluster.node(0).store().FailNextCommits({fault});
    cluster.RunFor(Milliseconds(15'000));
    cr_assert_not(cluster.has_records());
    cr_assert_not_null(cluster.leader());
    cr_assert(cluster.leader()->session()->state().term.revision == term);
    cr_assert_eq(cluster.minions.starts(cluster.id), 1);
    cluster.ExpectNoViolations();
  }
}

Test(removed_job, submitted_again_under_its_id_is_run_as_a_new_job) {
  RemovalCluster cluster;
  cluster.SubmitAndFinish();
  cluster.RunFor(Milliseconds(6'000));
  cr_assert_not(cluster.has_records());
  cluster.SubmitAndFinish();
  cr_assert_eq(cluster.minions.starts(cluster.id), 2);
}

}  // namespace papayalift
