#include "leader/crash_scenario.h"

namespace papayalift {

// A task that outlives its start before it crashes its minion is not among the suspects.
Test(late_crash, task_that_crashes_its_minions_seconds_after_the_start_is_given_up) {
  CrashScenario scenario(6);
  RegisteredJob deadly = WithDeadlyTasks(MakeJob(1, 1, Milliseconds(10'000)), {0});
  deadly.crash_delay = Milliseconds(4'000);
  const JobId job = scenario.SubmitDeadly(deadly);
  scenario.RunAndAfterEachStart(job, 3 * kMaxTimeToGiveUp, [&scenario] { scenario.KillLeader(); });
  scenario.ExpectDeadlyJobsGivenUp();
}

}  // namespace papayalift
