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

namespace {

/// Two nodes and three minions, each with a long task. The one that a further task starts on.
struct StartUnderWayCluster : TestCluster {
  StartUnderWayCluster() : TestCluster(2, 3) {
    Run(Milliseconds(12'000));
    SubmitLongTasks(MakeJobId(1), 3, 5);
    Run(Milliseconds(3'000));
  }

  void SubmitLongTasks(const JobId& id, int count, std::int64_t accelerators) {
    RegisteredJob job;
    job.work.steps = {MakeStep(count, accelerators)};
    job.duration = Milliseconds(60'000);
    Submit(id, job);
  }
};

MinionId NextChoice() {
  StartUnderWayCluster cluster;
  cluster.SubmitLongTasks(MakeJobId(2), 1, 1);
  cluster.Run(Milliseconds(2'000));
  return cluster.minions.RunningOn(MakeJobId(2)).front();
}

}  // namespace

// The lease record named the longest lease of a start that was under way as it was written (issue
// 68).
Test(silent_minion, with_a_start_under_way_holds_no_task_longer_than_an_unlisted_one) {
  const MinionId silent = NextChoice();
  constexpr Milliseconds kLongestLease{10'410};
  constexpr Milliseconds kElectionAndStart{2'500};
  for (const int killed_after : {1'000, 1'500, 2'000, 2'500, 3'000}) {
    StartUnderWayCluster cluster;
    cluster.minions.SetCutOffFromCallers(silent, OutageKind::kSilent);
    cluster.SubmitLongTasks(MakeJobId(2), 1, 1);
    cluster.Run(Milliseconds(killed_after));
    cluster.Kill(cluster.leader_index());
    cluster.Run(kLongestLease + kElectionAndStart);
    cr_expect_eq(cluster.minions.RunningOn(MakeJobId(2)).size(), 1, "killed after %d ms",
                 killed_after);
  }
}

}  // namespace papayalift
