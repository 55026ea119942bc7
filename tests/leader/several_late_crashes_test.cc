#include "leader/crash_scenario.h"

namespace papayalift {

// Deadly tasks that run on one minion take each other down at other points of their work.
Test(several_late_crashes, tasks_that_crash_their_minions_late_are_given_up_beside_innocent_ones) {
  for (const int minions : {3, 6}) {
    CrashScenario scenario(minions);
    RegisteredJob deadly = WithDeadlyTasks(MakeJob(1, 1, Milliseconds(10'000)), {0});
    deadly.crash_delay = Milliseconds(4'000);
    for (int round = 0; round < 3; ++round) {
      for (int number = 0; number < 3; ++number) {
        scenario.SubmitInnocent(MakeJob(2, 1, Milliseconds(6'000)));
      }
      scenario.SubmitInnocent(MakeGang(2, 3, Milliseconds(5'000)));
      scenario.SubmitDeadly(deadly);
      scenario.Run(Milliseconds(7'000));
    }
    scenario.Run(5 * kMaxTimeToGiveUp);
    scenario.ExpectDeadlyJobsGivenUp();
    scenario.ExpectInnocentJobsDone();
  }
}

}  // namespace papayalift
