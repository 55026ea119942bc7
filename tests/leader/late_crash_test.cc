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

Test(late_crash, deadly_task_is_given_up_whatever_the_time_between_its_starts_and_its_crashes) {
  for (const int delay : {1'500, 4'000, 20'000}) {
    for (const bool kills_leader : {false, true}) {
      for (const MinionReturn comes_back : {MinionReturn::kSameId, MinionReturn::kNewId}) {
        CrashScenario scenario(6);
        scenario.cluster.minions.SetOutageOfCrashes(MinionOutage{Milliseconds(3'000), comes_back});
        RegisteredJob deadly = WithDeadlyTasks(MakeJob(1, 1, Milliseconds(40'000)), {0});
        deadly.crash_delay = Milliseconds(delay);
        scenario.SubmitDeadly(deadly);
        scenario.RunAndAfterEachCrash(5 * kMaxTimeToGiveUp, Milliseconds(500),
                                      [&scenario, kills_leader] {
                                        if (kills_leader) {
                                          scenario.KillLeader();
                                        }
                                      });
        scenario.ExpectDeadlyJobsGivenUp();
      }
    }
  }
}

Test(late_crash, innocent_jobs_beside_a_task_that_crashes_its_minions_late_are_done) {
  for (const int minions : {3, 6}) {
    CrashScenario scenario(minions);
    RegisteredJob deadly = WithDeadlyTasks(MakeJob(1, 1, Milliseconds(10'000)), {0});
    deadly.crash_delay = Milliseconds(4'000);
    scenario.SubmitDeadly(deadly);
    for (int round = 0; round < 3; ++round) {
      for (int number = 0; number < 3; ++number) {
        scenario.SubmitInnocent(MakeJob(2, 1, Milliseconds(6'000)));
      }
      scenario.SubmitInnocent(MakeGang(2, 3, Milliseconds(5'000)));
      scenario.Run(Milliseconds(7'000));
    }
    scenario.Run(5 * kMaxTimeToGiveUp);
    scenario.ExpectDeadlyJobsGivenUp();
    scenario.ExpectInnocentJobsDone();
  }
}

// A machine that fails by itself, and is the only one, ends the task on it again and again.
Test(late_crash, minion_that_ends_four_times_under_a_task_fails_no_job) {
  CrashScenario scenario(1);
  const JobId job = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(10'000)));
  for (int crash = 0; crash < 4; ++crash) {
    scenario.RunUntilStarted(job);
    scenario.cluster.Run(Milliseconds(4'000));
    cr_assert(!scenario.cluster.minions.RunningOn(job).empty());
    scenario.cluster.minions.Crash(scenario.cluster.minions.RunningOn(job).front());
  }
  scenario.Run(kMaxTimeToGiveUp);
  scenario.ExpectInnocentJobsDone();
}

// Machines fail by themselves, and a task that lasts is lost with some of them.
Test(late_crash, task_that_lasts_is_not_given_up_when_its_minions_end_after_long) {
  CrashScenario scenario(6);
  const JobId job = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(80'000)));
  for (int crash = 0; crash < 6; ++crash) {
    scenario.RunUntilStarted(job);
    scenario.cluster.Run(Milliseconds(crash % 2 == 0 ? 4'000 : 70'000));
    cr_assert(!scenario.cluster.minions.RunningOn(job).empty());
    scenario.cluster.minions.Crash(scenario.cluster.minions.RunningOn(job).front());
  }
  scenario.Run(3 * kMaxTimeToGiveUp);
  scenario.ExpectInnocentJobsDone();
}

}  // namespace papayalift
