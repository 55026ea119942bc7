#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

// The leader asked it for nothing any more: its calls had gone unanswered, and its life was not
// new.
Test(cut_off_minion, that_registers_again_with_the_same_life_gets_work) {
  TestCluster cluster(1, 1);
  const MinionId id("m0");
  RegisteredJob job;
  job.work.steps = {MakeStep(1, 1)};
  cluster.Submit(MakeJobId(1), job);
  cluster.Run(Milliseconds(300));
  cr_assert_eq(cluster.minions.RunningOn(MakeJobId(1)).size(), 1);
  cluster.minions.SetReachable(id, false);
  cluster.Run(Milliseconds(3'000));
  cluster.store.Remove("servers/" + id.text());
  cluster.Run(Milliseconds(12'000));
  cluster.minions.SetReachable(id, true);
  cluster.minions.SendHeartbeats();
  cluster.Run(Milliseconds(60'000));
  cr_assert(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  cr_assert(cluster.minions.violations().empty());
}

}  // namespace papayalift
