#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

// The next leader waits for leases granted by the end of the term, not for late starts (issue 37).
Test(start_after_term, by_a_process_not_heard_of_runs_no_task_twice) {
  for (int second = 0; second < 6; ++second) {
    TestCluster cluster(2, 2);
    cluster.Run(Milliseconds(12'000 + 1'000 * second));
    const MinionId holder("m0");
    cluster.minions.SetCutOffFromStore(holder, true);
    cluster.minions.Restart(holder);
    cluster.minions.FailNextOrders(holder, {OrderFault::kLate});
    const JobId id = MakeJobId(1);
    RegisteredJob job;
    job.work.steps = {MakeStep(1, 1)};
    job.duration = Milliseconds(20'000);
    cluster.Submit(id, job);
    const ClusterNode& leader = *cluster.leader();
    while (leader.minions().starts() == 0) {
      cluster.Run(Milliseconds(1));
    }
    cr_assert_eq(leader.session()->state().jobs.at(id).progress.steps[0].tasks[0].minion, holder);
    cluster.Run(Milliseconds(5));
    cluster.minions.SetCutOffFromCallers(holder, OutageKind::kSilent);
    cluster.Kill(cluster.leader_index());
    cluster.Run(Milliseconds(15'000));
    cluster.minions.SetCutOffFromStore(holder, false);
    cluster.minions.SetCutOffFromCallers(holder, std::nullopt);
    cluster.Run(Milliseconds(30'000));
    cr_expect(cluster.StateOf(id) == WorkState::kDone);
    for (const std::string& violation : cluster.minions.violations()) {
      cr_expect(false, "second %d: %s", second, violation.c_str());
    }
  }
}

}  // namespace papayalift
