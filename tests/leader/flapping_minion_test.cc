#include "leader/crash_scenario.h"

namespace papayalift {

// Two ends of the only minion with room gave the job on it up, though its task had crashed nothing.
Test(flapping_minion, that_ends_three_times_under_a_task_fails_no_job) {
  for (const MinionReturn comes_back : {MinionReturn::kSameId, MinionReturn::kNewId}) {
    CrashScenario scenario(1);
    const JobId job = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(3'000)));
    for (int crash = 0; crash < 3; ++crash) {
      scenario.RunUntilStarted(job);
      scenario.cluster.Run(Milliseconds(300));
      cr_assert(!scenario.cluster.minions.RunningOn(job).empty());
      scenario.cluster.minions.Crash(scenario.cluster.minions.RunningOn(job).front(),
                                     MinionOutage{Milliseconds(700), comes_back});
    }
    scenario.Run(kMaxTimeToGiveUp);
    scenario.ExpectInnocentJobsDone();
  }
}

// A task that crashed a minion is tried on another one, which tells whose fault it was.
Test(flapping_minion, beside_sound_ones_gets_a_task_only_once) {
  CrashScenario scenario(3);
  const JobId job = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(3'000)));
  scenario.RunUntilStarted(job);
  scenario.cluster.Run(Milliseconds(300));
  const MinionId flapping = scenario.cluster.minions.RunningOn(job).front();
  scenario.cluster.minions.Crash(flapping, MinionOutage{Milliseconds(10)});
  scenario.cluster.Run(Milliseconds(200));
  scenario.RunUntilStarted(job);
  cr_expect(scenario.cluster.minions.RunningOn(job).front() != flapping);
  scenario.Run(kMaxTimeToGiveUp);
  scenario.ExpectInnocentJobsDone();
}

Test(flapping_minion, because_of_a_deadly_task_is_started_no_more_often_than_allowed) {
  CrashScenario scenario(1);
  scenario.SubmitDeadly(MakeDeadlyJob());
  scenario.Run(2 * kMaxTimeToGiveUp);
  scenario.ExpectDeadlyJobsGivenUp();
}

}  // namespace papayalift
