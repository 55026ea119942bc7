#include "leader/crash_scenario.h"

namespace papayalift {

// The draining minion of a placement that only a new leader finds counted as crashed.
Test(drained_minion, task_whose_minions_drained_and_left_under_changing_leaders_is_not_given_up) {
  CrashScenario scenario(6);
  const JobId job = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(5'000)));
  for (int round = 0; round < 3; ++round) {
    scenario.RunUntilStarted(job);
    const MinionId minion = scenario.cluster.minions.RunningOn(job).front();
    MinionOutage outage;
    outage.duration = Milliseconds(600'000);
    for (std::size_t index = 0; index < kNodes; ++index) {
      scenario.cluster.Kill(index);
    }
    scenario.cluster.minions.SetDraining(minion);
    scenario.cluster.minions.Crash(minion, outage);
    scenario.cluster.Run(Milliseconds(3'100));
    for (std::size_t index = 0; index < kNodes; ++index) {
      scenario.cluster.Restart(index);
    }
    scenario.Run(Milliseconds(5'000));
  }
  scenario.Run(kMaxTimeToGiveUp);
  scenario.ExpectInnocentJobsDone();
}

namespace {

/// Six minions and three nodes. `lose` takes the job's minion away for good each time that the job
/// has started, three times; the leader ends after that.
void CheckInnocentJobIsDone(const std::function<void(CrashScenario&, const MinionId&)>& lose) {
  CrashScenario scenario(6);
  const JobId job = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(20'000)));
  for (int round = 0; round < 3; ++round) {
    scenario.RunUntilStarted(job);
    scenario.Run(Milliseconds(2'000));
    lose(scenario, scenario.cluster.minions.RunningOn(job).front());
    scenario.cluster.Run(Milliseconds(500));
    scenario.KillLeader();
    scenario.Run(Milliseconds(15'000));
  }
  scenario.Run(kMaxTimeToGiveUp);
  scenario.ExpectInnocentJobsDone();
}

MinionOutage ForGood() {
  MinionOutage outage;
  outage.duration = Milliseconds(600'000);
  return outage;
}

}  // namespace

// The leader had seen the minion drain, but was stopped before the run's lease was over (review/4).
Test(drained_minion, task_whose_minion_left_before_a_change_of_leader_is_not_given_up) {
  CheckInnocentJobIsDone([](CrashScenario& scenario, const MinionId& minion) {
    scenario.cluster.minions.SetDraining(minion);
    scenario.cluster.Run(Milliseconds(2'200));
    scenario.cluster.minions.Crash(minion, ForGood());
    scenario.cluster.store.Remove("servers/" + minion.text());
  });
}

// A minion that is cut off, and whose entry the platform removes, counted as crashed for a new
// leader.
Test(drained_minion, task_whose_minion_is_cut_off_at_a_change_of_leader_is_not_given_up) {
  CheckInnocentJobIsDone([](CrashScenario& scenario, const MinionId& minion) {
    scenario.cluster.minions.SetReachable(minion, false);
    scenario.cluster.minions.SetCutOffFromStore(minion, true);
    scenario.cluster.Run(Milliseconds(3'000));
    scenario.cluster.store.Remove("servers/" + minion.text());
  });
}

}  // namespace papayalift
