#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

constexpr Milliseconds kDuration{5'000};
const JobId kJob = MakeJobId(1);

/// Two minions that list a few ends at a time, and a job of many more small tasks.
struct ManyEnds : TestCluster {
  explicit ManyEnds(std::size_t ends_per_report) : TestCluster(3, 2) {
    minions.SetMaxEndsPerReport(ends_per_report);
    RegisteredJob job;
    job.work.steps = {MakeStep(kTasks, 0)};
    job.work.steps[0].needs = Resources{10, 10, 0};
    job.work.steps[0].estimate = kDuration;
    job.duration = kDuration;
    cr_assert(Submit(kJob, job).kind == JobReplyKind::kAccepted);
    Run(kDuration - Milliseconds(300));
    cr_assert_eq(minions.starts(kJob), kTasks);
  }

  void ExpectDoneOnce() {
    Run(Milliseconds(20'000));
    cr_expect(StateOf(kJob) == WorkState::kDone, "the job is %d", static_cast<int>(StateOf(kJob)));
    cr_expect_eq(minions.starts(kJob), kTasks, "%d starts of %d tasks", minions.starts(kJob),
                 kTasks);
    for (const std::string& violation : minions.violations()) {
      cr_expect(false, "%s", violation.c_str());
    }
  }

  static constexpr int kTasks = 40;
};

}  // namespace

// Runs whose ends were not among the first in a report were taken for runs that never started, and
// done tasks started again (review/6).
Test(cut_report, after_a_change_of_leader_starts_no_done_task_again) {
  for (const std::size_t ends : {1, 7, 20}) {
    ManyEnds cluster(ends);
    cluster.Kill(cluster.leader_index());
    cluster.ExpectDoneOnce();
  }
}

// The same without a change of leader: ends pile up while the store can't be written.
Test(cut_report, after_an_outage_of_the_store_starts_no_done_task_again) {
  ManyEnds cluster(7);
  for (std::size_t node = 0; node < 3; ++node) {
    cluster.node(node).store().SetReachable(false);
  }
  cluster.Run(Milliseconds(3'000));
  for (std::size_t node = 0; node < 3; ++node) {
    cluster.node(node).store().SetReachable(true);
  }
  cluster.ExpectDoneOnce();
}

// A silent minion's ends pile up as well.
Test(cut_report, after_a_cut_starts_no_done_task_again) {
  for (const OutageKind kind : {OutageKind::kSilent, OutageKind::kReset, OutageKind::kRefused}) {
    ManyEnds cluster(7);
    for (const char* const id : {"m0", "m1"}) {
      cluster.minions.SetCutOffFromCallers(MinionId(id), kind);
    }
    cluster.Run(Milliseconds(1'500));
    for (const char* const id : {"m0", "m1"}) {
      cluster.minions.SetCutOffFromCallers(MinionId(id), std::nullopt);
    }
    cluster.ExpectDoneOnce();
  }
}

}  // namespace papayalift
