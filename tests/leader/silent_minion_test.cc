#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

constexpr Milliseconds kStartBound{3'000};
constexpr Milliseconds kLong{60'000};
const JobId kJob = MakeJobId(9);

}  // namespace

// The judgement of a crash waits to hear of the other minions of its zone.
Test(silent_minion, elsewhere_does_not_keep_the_task_of_a_crashed_minion_from_starting) {
  constexpr Milliseconds kHeartbeatInterval{20};
  TestCluster cluster(1, 0);
  for (int number = 0; number < 12; ++number) {
    cluster.minions.Add(MinionId("m" + std::to_string(number)),
                        RackId("r" + std::to_string(number / 3)), Resources{8'000, 8'000, 8});
  }
  cluster.RunWithHeartbeats(Milliseconds(2'000), kHeartbeatInterval);
  cluster.minions.SetReachable(MinionId("m11"), false);
  RegisteredJob job;
  job.work.steps = {MakeStep(1, 8)};
  job.work.steps[0].estimate = kLong;
  job.duration = kLong;
  cluster.Submit(kJob, job);
  cluster.RunWithHeartbeats(Milliseconds(200), kHeartbeatInterval);
  cr_assert_eq(cluster.minions.RunningOn(kJob).size(), 1);
  cluster.minions.Crash(cluster.minions.RunningOn(kJob)[0], MinionOutage{Milliseconds(200)});
  cluster.RunWithHeartbeats(kStartBound, kHeartbeatInterval);
  cr_assert_eq(cluster.minions.RunningOn(kJob).size(), 1);
}

}  // namespace papayalift
