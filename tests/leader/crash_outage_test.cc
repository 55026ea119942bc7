#include <string>

#include "leader/crash_scenario.h"

namespace papayalift {

namespace {

constexpr Milliseconds kOutage{5'000};
/// Longer than a previous leader's leases, and then three times the tasks' duration.
constexpr Milliseconds kMaxTimeAfterOutage{30'000};
constexpr Milliseconds kDuration{5'000};

void EndAllNodesFor(CrashScenario& scenario, Milliseconds time) {
  for (std::size_t index = 0; index < kNodes; ++index) {
    scenario.cluster.Kill(index);
  }
  scenario.cluster.Run(time);
  for (std::size_t index = 0; index < kNodes; ++index) {
    scenario.cluster.Restart(index);
  }
}

}  // namespace

// A placement found by a new leader, on a minion that started anew meanwhile, made a suspect.
Test(crash_outage, tasks_that_lost_their_power_with_all_nodes_start_again_together) {
  CrashScenario scenario(8);
  const JobId job = scenario.SubmitInnocent(MakeJob(48, 1, kDuration));
  scenario.RunUntilStarted(job);
  scenario.Run(Milliseconds(2'000));
  scenario.cluster.minions.LoseZone(ZoneId("a"), kOutage);
  EndAllNodesFor(scenario, kOutage + Milliseconds(100));
  scenario.Run(kMaxTimeAfterOutage);
  scenario.ExpectInnocentJobsDone();
}

// Isolated tasks of a step that is no gang wait for an idle minion and never stop others.
Test(crash_outage, guaranteed_task_whose_minion_crashed_once_stops_lower_priorities_again) {
  CrashScenario scenario(3);
  TestCluster& cluster = scenario.cluster;
  const JobId job = MakeJobId(100);
  cluster.Submit(job, MakeJob(1, 4, Milliseconds(10'000)), Priority(0));
  cluster.Run(Milliseconds(500));
  cr_assert_eq(cluster.minions.RunningOn(job).size(), 1);
  cluster.minions.Crash(cluster.minions.RunningOn(job).front());
  cluster.Submit(MakeJobId(101), MakeJob(12, 2, 3 * kMaxTimeToGiveUp), Priority(2));
  scenario.Run(Milliseconds(45'000));
  cr_expect(cluster.StateOf(job) == WorkState::kDone, "the job is %s",
            WorkStateText(cluster.StateOf(job)).c_str());
}

// Beside a sound zone, the runs of one that is lost shortly before its leader.
Test(crash_outage, tasks_of_a_zone_lost_with_its_leader_start_again_together) {
  CrashScenario scenario(8);
  for (int number = 0; number < 8; ++number) {
    scenario.cluster.minions.Add(MinionId("z" + std::to_string(number)), RackId("z"),
                                 kMinionCapacity, ZoneId("b"));
  }
  scenario.Run(Milliseconds(500));
  const JobId job = scenario.SubmitInnocent(MakeJob(96, 1, kDuration));
  scenario.RunUntilStarted(job);
  scenario.Run(Milliseconds(2'000));
  scenario.cluster.minions.LoseZone(ZoneId("a"), kOutage);
  scenario.KillLeader();
  scenario.Run(kMaxTimeAfterOutage);
  scenario.ExpectInnocentJobsDone();
}

}  // namespace papayalift
