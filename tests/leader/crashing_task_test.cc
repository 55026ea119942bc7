#include "leader/crash_scenario.h"

namespace papayalift {

namespace {

/// Plays one deadly job beside innocent ones.
void CheckDeadlyJobIsGivenUp(const RegisteredJob& deadly, const MinionOutage& outage) {
  CrashScenario scenario(6);
  scenario.cluster.minions.SetOutageOfCrashes(outage);
  scenario.SubmitDeadly(deadly);
  for (int number = 0; number < 6; ++number) {
    scenario.SubmitInnocent(MakeJob(2, 1));
  }
  scenario.Run(kMaxTimeToGiveUp);
  scenario.ExpectDeadlyJobsGivenUp();
  scenario.ExpectInnocentJobsDone();
}

}  // namespace

Test(crashing_task, task_that_crashes_every_minion_is_given_up_and_its_job_fails) {
  CheckDeadlyJobIsGivenUp(MakeDeadlyJob(), MinionOutage{});
}

Test(crashing_task, task_is_given_up_when_its_minions_come_back_under_new_ids) {
  MinionOutage outage;
  outage.comes_back = MinionReturn::kNewId;
  CheckDeadlyJobIsGivenUp(MakeDeadlyJob(), outage);
}

Test(crashing_task, task_is_given_up_when_its_minions_come_back_before_their_entries_expire) {
  MinionOutage outage;
  outage.duration = Milliseconds(700);
  CheckDeadlyJobIsGivenUp(MakeDeadlyJob(), outage);
}

Test(crashing_task, task_is_given_up_when_its_minions_stay_away_for_long) {
  MinionOutage outage;
  outage.duration = Milliseconds(15'000);
  CheckDeadlyJobIsGivenUp(MakeDeadlyJob(), outage);
}

Test(crashing_task, task_is_given_up_when_its_starts_are_not_answered) {
  RegisteredJob job = MakeDeadlyJob();
  job.crash_delay = Milliseconds(1);
  CheckDeadlyJobIsGivenUp(job, MinionOutage{});
}

Test(crashing_task, task_is_given_up_when_its_minions_crash_a_second_after_the_start) {
  RegisteredJob job = MakeDeadlyJob();
  job.crash_delay = Milliseconds(900);
  CheckDeadlyJobIsGivenUp(job, MinionOutage{});
}

Test(crashing_task, one_deadly_task_among_many_of_a_step_fails_the_job) {
  CheckDeadlyJobIsGivenUp(WithDeadlyTasks(MakeJob(6, 1), {3}), MinionOutage{});
}

Test(crashing_task, deadly_tasks_of_a_step_are_each_started_a_few_times) {
  CheckDeadlyJobIsGivenUp(WithDeadlyTasks(MakeJob(6, 1), {0, 1, 2, 3, 4, 5}), MinionOutage{});
}

Test(crashing_task, deadly_task_of_a_later_step_fails_the_job) {
  RegisteredJob job;
  job.work.steps = {MakeStep(2, 1), MakeStep(2, 1)};
  job.work.steps[1].after = {0};
  job.deadly_tasks = {DeadlyTask{1, 1}};
  CheckDeadlyJobIsGivenUp(job, MinionOutage{});
}

Test(crashing_task, deadly_task_under_changing_leaders_is_given_up) {
  for (const int delay : {0, 1'000, 3'000, 3'600, 5'000}) {
    CrashScenario scenario(6);
    scenario.SubmitDeadly(MakeDeadlyJob());
    scenario.RunAndAfterEachCrash(2 * kMaxTimeToGiveUp, Milliseconds(delay),
                                  [&scenario] { scenario.KillLeader(); });
    scenario.ExpectDeadlyJobsGivenUp();
  }
}

Test(crashing_task, deadly_task_is_given_up_when_its_leader_is_killed_before_each_crash) {
  for (const int delay : {100, 1'000}) {
    CrashScenario scenario(6);
    RegisteredJob deadly = WithDeadlyTasks(MakeJob(1, 1, Milliseconds(10'000)), {0});
    deadly.crash_delay = Milliseconds(delay);
    const JobId job = scenario.SubmitDeadly(deadly);
    scenario.RunAndAfterEachStart(job, 3 * kMaxTimeToGiveUp,
                                  [&scenario] { scenario.KillLeader(); });
    scenario.ExpectDeadlyJobsGivenUp();
  }
}

Test(crashing_task, deadly_task_is_given_up_when_all_nodes_are_killed_after_each_crash) {
  for (const int delay : {0, 1'000, 3'000, 3'600, 5'000}) {
    CrashScenario scenario(6);
    scenario.SubmitDeadly(MakeDeadlyJob());
    scenario.RunAndAfterEachCrash(2 * kMaxTimeToGiveUp, Milliseconds(delay),
                                  [&scenario] { scenario.KillAllNodes(); });
    scenario.ExpectDeadlyJobsGivenUp();
  }
}

Test(crashing_task, deadly_task_under_changing_leaders_is_given_up_when_minions_get_new_ids) {
  for (const int delay : {0, 3'600}) {
    CrashScenario scenario(6);
    MinionOutage outage;
    outage.comes_back = MinionReturn::kNewId;
    scenario.cluster.minions.SetOutageOfCrashes(outage);
    scenario.SubmitDeadly(MakeDeadlyJob());
    scenario.RunAndAfterEachCrash(2 * kMaxTimeToGiveUp, Milliseconds(delay),
                                  [&scenario] { scenario.KillLeader(); });
    scenario.ExpectDeadlyJobsGivenUp();
  }
}

Test(crashing_task, innocent_task_that_shared_crashed_minions_with_a_deadly_one_is_done) {
  CrashScenario scenario(1);
  const JobId innocent = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(5'000)));
  for (int number = 0; number < 3; ++number) {
    scenario.RunUntilStarted(innocent);
    scenario.SubmitDeadly(MakeDeadlyJob());
    scenario.Run(Milliseconds(500));
  }
  scenario.Run(3 * kMaxTimeToGiveUp);
  scenario.ExpectDeadlyJobsGivenUp();
  scenario.ExpectInnocentJobsDone();
}

Test(crashing_task, innocent_jobs_beside_several_deadly_ones_on_few_minions_are_done) {
  CrashScenario scenario(3);
  for (int round = 0; round < 4; ++round) {
    for (int number = 0; number < 3; ++number) {
      scenario.SubmitInnocent(MakeJob(3, 1, Milliseconds(2'000 + 700 * number)));
    }
    scenario.SubmitDeadly(MakeDeadlyJob());
    scenario.Run(Milliseconds(3'000));
  }
  scenario.Run(3 * kMaxTimeToGiveUp);
  scenario.ExpectDeadlyJobsGivenUp();
  scenario.ExpectInnocentJobsDone();
}

Test(crashing_task, innocent_jobs_beside_deadly_ones_under_changing_leaders_are_done) {
  CrashScenario scenario(3);
  for (int round = 0; round < 3; ++round) {
    for (int number = 0; number < 3; ++number) {
      scenario.SubmitInnocent(MakeJob(2, 1, Milliseconds(2'000 + 700 * number)));
    }
    scenario.SubmitDeadly(MakeDeadlyJob());
    scenario.RunAndAfterEachCrash(Milliseconds(6'000), Milliseconds(100),
                                  [&scenario] { scenario.KillLeader(); });
  }
  scenario.RunAndAfterEachCrash(4 * kMaxTimeToGiveUp, Milliseconds(100),
                                [&scenario] { scenario.KillLeader(); });
  scenario.ExpectDeadlyJobsGivenUp();
  scenario.ExpectInnocentJobsDone();
}

Test(crashing_task, jobs_beside_a_deadly_task_lose_the_runs_of_one_minion_at_most) {
  CrashScenario scenario(4);
  for (int number = 0; number < 20; ++number) {
    scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(15'000)));
  }
  scenario.Run(Milliseconds(500));
  scenario.SubmitDeadly(MakeDeadlyJob());
  scenario.Run(2 * kMaxTimeToGiveUp);
  scenario.ExpectDeadlyJobsGivenUp();
  scenario.ExpectInnocentJobsDone();
  const int max_runs_beside = static_cast<int>(kMinionCapacity.accelerators) - 1;
  cr_expect(scenario.LostInnocentRuns() <= max_runs_beside, "%d innocent runs were lost",
            scenario.LostInnocentRuns());
}

Test(crashing_task, task_that_is_alone_on_its_minion_is_not_given_up_after_one_crash) {
  CrashScenario scenario(4);
  const JobId job = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(3'000)));
  scenario.Run(Milliseconds(500));
  const std::vector<MinionId> minions = scenario.cluster.minions.RunningOn(job);
  cr_assert_eq(minions.size(), 1);
  scenario.cluster.minions.Crash(minions[0]);
  scenario.Run(kMaxTimeToGiveUp);
  cr_assert_lt(scenario.cluster.minions.lost_runs(job), kMinCrashesToGiveUp);
  scenario.ExpectInnocentJobsDone();
}

Test(crashing_task, lost_zone_gives_up_no_task) {
  CrashScenario scenario(2);
  for (int number = 0; number < 4; ++number) {
    scenario.cluster.minions.Add(MinionId("z" + std::to_string(number)), RackId("z"),
                                 kMinionCapacity, ZoneId("b"));
  }
  scenario.Run(Milliseconds(500));
  for (int number = 0; number < 5; ++number) {
    scenario.SubmitInnocent(MakeJob(6, 1, Milliseconds(6'000)));
    scenario.SubmitInnocent(MakeGang(2, 4, Milliseconds(6'000)));
  }
  for (int round = 0; round < 4; ++round) {
    scenario.Run(Milliseconds(5'000));
    scenario.cluster.minions.LoseZone(ZoneId("b"));
  }
  scenario.Run(kMaxTimeToGiveUp);
  scenario.ExpectInnocentJobsDone();
}

Test(crashing_task, loss_of_the_only_zone_gives_up_no_task) {
  CrashScenario scenario(4);
  scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(6'000)));
  scenario.SubmitInnocent(MakeGang(2, 8, Milliseconds(6'000)));
  for (int round = 0; round < 4; ++round) {
    scenario.Run(Milliseconds(5'000));
    scenario.cluster.minions.LoseZone(ZoneId("a"));
  }
  scenario.Run(kMaxTimeToGiveUp);
  scenario.ExpectInnocentJobsDone();
}

Test(crashing_task, rolling_restart_of_minions_gives_up_no_task) {
  CrashScenario scenario(6);
  for (int number = 0; number < 4; ++number) {
    scenario.SubmitInnocent(MakeJob(5, 1, Milliseconds(8'000)));
    scenario.SubmitInnocent(MakeGang(2, 3, Milliseconds(8'000)));
  }
  constexpr Milliseconds kInterval{4'000};
  for (int round = 0; round < 3; ++round) {
    scenario.cluster.minions.RestartInTurn(kInterval);
    scenario.Run(7 * kInterval);
  }
  scenario.Run(kMaxTimeToGiveUp);
  scenario.ExpectInnocentJobsDone();
}

Test(crashing_task, cut_off_minions_give_up_no_task) {
  CrashScenario scenario(4);
  const JobId job = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(12'000)));
  for (int round = 0; round < 4; ++round) {
    scenario.Run(Milliseconds(4'000));
    const std::vector<MinionId> minions = scenario.cluster.minions.RunningOn(job);
    for (const MinionId& id : minions) {
      scenario.cluster.minions.SetReachable(id, false);
    }
    scenario.Run(Milliseconds(3'000));
    for (const MinionId& id : minions) {
      scenario.cluster.store.Remove("servers/" + id.text());
    }
    scenario.Run(Milliseconds(9'000));
    for (const MinionId& id : minions) {
      scenario.cluster.minions.SetReachable(id, true);
    }
  }
  scenario.Run(kMaxTimeToGiveUp);
  scenario.ExpectInnocentJobsDone();
}

Test(crashing_task, gang_with_one_deadly_member_is_given_up) {
  CrashScenario scenario(6);
  scenario.SubmitDeadly(WithDeadlyTasks(MakeGang(3, 5), {1}));
  scenario.SubmitInnocent(MakeGang(2, 3, Milliseconds(3'000)));
  scenario.Run(2 * kMaxTimeToGiveUp);
  scenario.ExpectDeadlyJobsGivenUp();
  scenario.ExpectInnocentJobsDone();
}

Test(crashing_task, gang_of_deadly_members_is_given_up) {
  CrashScenario scenario(6);
  scenario.SubmitDeadly(WithDeadlyTasks(MakeGang(3, 5), {0, 1, 2}));
  scenario.SubmitInnocent(MakeGang(2, 3, Milliseconds(3'000)));
  scenario.Run(2 * kMaxTimeToGiveUp);
  scenario.ExpectDeadlyJobsGivenUp();
  scenario.ExpectInnocentJobsDone();
}

Test(crashing_task, innocent_gang_that_shared_crashed_minions_with_deadly_tasks_is_done) {
  CrashScenario scenario(2);
  const JobId gang = scenario.SubmitInnocent(MakeGang(2, 5, Milliseconds(4'000)));
  for (int number = 0; number < 3; ++number) {
    scenario.RunUntilStarted(gang);
    scenario.SubmitDeadly(MakeDeadlyJob());
    scenario.Run(Milliseconds(500));
  }
  scenario.Run(3 * kMaxTimeToGiveUp);
  scenario.ExpectDeadlyJobsGivenUp();
  scenario.ExpectInnocentJobsDone();
}

Test(crashing_task, deadly_task_in_a_full_fleet_gets_its_turns_and_is_given_up) {
  CrashScenario scenario(3);
  for (int round = 0; round < 120; ++round) {
    scenario.SubmitInnocent(MakeJob(2, 4, Milliseconds(1'400)));
    if (round == 10) {
      scenario.SubmitDeadly(MakeDeadlyJob());
    }
    scenario.Run(Milliseconds(500));
  }
  scenario.ExpectDeadlyJobsGivenUp();
  scenario.Run(2 * kMaxTimeToGiveUp);
  scenario.ExpectInnocentJobsDone();
}

Test(crashing_task, crashed_innocent_task_in_a_full_fleet_gets_a_turn) {
  CrashScenario scenario(3);
  const JobId job = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(2'000)));
  for (int round = 0; round < 120; ++round) {
    scenario.SubmitInnocent(MakeJob(2, 4, Milliseconds(1'400)));
    if (round == 1) {
      const std::vector<MinionId> minions = scenario.cluster.minions.RunningOn(job);
      cr_assert_eq(minions.size(), 1);
      scenario.cluster.minions.Crash(minions[0]);
    }
    scenario.Run(Milliseconds(500));
  }
  cr_expect(scenario.StateOf(job) == WorkState::kDone);
  scenario.Run(2 * kMaxTimeToGiveUp);
  scenario.ExpectInnocentJobsDone();
}

}  // namespace papayalift
