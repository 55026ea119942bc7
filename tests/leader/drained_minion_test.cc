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

}  // namespace papayalift
