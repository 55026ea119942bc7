#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "leader/test_cluster.h"
#include "libraries/journal/job_progress_codec.h"

namespace papayalift {

namespace {

constexpr Resources kMinionCapacity{8'000, 8'000, 8};
constexpr std::size_t kNodes = 3;
constexpr Milliseconds kStep{20};
constexpr Milliseconds kHeartbeatInterval{1'000};
/// How often the states of jobs are read.
constexpr Milliseconds kStateInterval{5'000};
/// Time within which a deadly task is given up while minions are free.
constexpr Milliseconds kMaxTimeToGiveUp{60'000};
/// Starts of a deadly task that the rule allows: three that crash their minions, and two more.
constexpr int kMaxStartsOfDeadlyTask = 5;
/// Crashes under a task after which it may be given up at the earliest.
constexpr int kMinCrashesToGiveUp = 2;

RegisteredJob MakeJob(int count, std::int64_t accelerators,
                      Milliseconds duration = Milliseconds(1'000)) {
  RegisteredJob job;
  job.work.steps = {MakeStep(count, accelerators)};
  job.work.steps[0].estimate = duration;
  job.duration = duration;
  return job;
}

RegisteredJob MakeGang(int count, std::int64_t accelerators,
                       Milliseconds duration = Milliseconds(1'000)) {
  RegisteredJob job = MakeJob(count, accelerators, duration);
  job.work.steps[0].kind = WorkStepKind::kGang;
  return job;
}

RegisteredJob WithDeadlyTasks(RegisteredJob job, const std::vector<int>& indexes) {
  for (const int index : indexes) {
    job.deadly_tasks.push_back(DeadlyTask{0, index});
  }
  return job;
}

RegisteredJob MakeDeadlyJob() { return WithDeadlyTasks(MakeJob(1, 1), {0}); }

/// A cluster in which deadly and innocent jobs are submitted, and the checks of what callers see.
class CrashScenario {
 public:
  explicit CrashScenario(int minions) : cluster(static_cast<int>(kNodes), minions) {
    SendHeartbeatsRegularly();
  }

  JobId SubmitInnocent(const RegisteredJob& job) { return Submit(job, m_innocent); }
  JobId SubmitDeadly(const RegisteredJob& job) { return Submit(job, m_deadly); }

  void Run(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += kStateInterval) {
      cluster.Run(std::min(kStateInterval, time - passed));
      RecordStates();
    }
  }

  /// Advances the time until the job runs, at most for a minute.
  void RunUntilStarted(const JobId& job) {
    for (Milliseconds waited{0}; waited < kMaxTimeToGiveUp; waited += kStep) {
      if (!cluster.minions.RunningOn(job).empty()) {
        return;
      }
      cluster.Run(kStep);
    }
  }

  /// Advances the time and calls `action` each time that the count has risen.
  void RunAndAfterEach(const std::function<int()>& count, Milliseconds time,
                       const std::function<void()>& action) {
    const Milliseconds end = cluster.timers.clock().Now() + time;
    Milliseconds next_state = cluster.timers.clock().Now();
    int last = count();
    while (cluster.timers.clock().Now() < end) {
      cluster.Run(kStep);
      if (count() > last) {
        last = count();
        action();
      }
      if (cluster.timers.clock().Now() >= next_state) {
        RecordStates();
        next_state = cluster.timers.clock().Now() + kStateInterval;
      }
    }
    RecordStates();
  }

  void RunAndAfterEachCrash(Milliseconds time, Milliseconds delay,
                            const std::function<void()>& action) {
    RunAndAfterEach([this] { return cluster.minions.crashes(); }, time,
                    [this, delay, &action] {
                      cluster.Run(delay);
                      action();
                    });
  }

  void RunAndAfterEachStart(const JobId& job, Milliseconds time,
                            const std::function<void()>& action) {
    RunAndAfterEach([this, &job] { return cluster.minions.starts(job); }, time, action);
  }

  void KillLeader() {
    const std::size_t index = cluster.leader_index();
    if (index == kNodes) {
      return;
    }
    cluster.Kill(index);
    cluster.timers.After(Milliseconds(1'500), [this, index] { cluster.Restart(index); });
  }

  void KillAllNodes() {
    for (std::size_t index = 0; index < kNodes; ++index) {
      if (cluster.is_alive(index)) {
        cluster.Kill(index);
      }
    }
    cluster.Run(Milliseconds(1'000));
    for (std::size_t index = 0; index < kNodes; ++index) {
      cluster.Restart(index);
    }
  }

  void ExpectDeadlyJobsGivenUp() {
    for (const JobId& job : m_deadly) {
      cr_expect(StateOf(job) == WorkState::kFailed, "deadly job %s is %s", job.text().c_str(),
                WorkStateText(StateOf(job)).c_str());
    }
    for (const TaskName& task : m_deadly_tasks) {
      const TaskRecord record = cluster.minions.RecordOf(task);
      cr_expect(record.starts <= kMaxStartsOfDeadlyTask, "%s was started %d times",
                FormatTaskName(task).c_str(), record.starts);
    }
    ExpectNoViolations();
  }

  void ExpectInnocentJobsDone() {
    for (const JobId& job : m_innocent) {
      cr_expect(StateOf(job) == WorkState::kDone, "innocent job %s is %s", job.text().c_str(),
                WorkStateText(StateOf(job)).c_str());
    }
    ExpectNoViolations();
  }

  /// The state in which the job ended, or its present one. Ended jobs are forgotten after a while.
  WorkState StateOf(const JobId& job) {
    const auto ended = m_ended.find(job);
    return ended == m_ended.end() ? cluster.StateOf(job) : ended->second;
  }

  int LostInnocentRuns() const {
    int sum = 0;
    for (const JobId& job : m_innocent) {
      sum += cluster.minions.lost_runs(job);
    }
    return sum;
  }

  TestCluster cluster;

 private:
  void SendHeartbeatsRegularly() {
    cluster.minions.SendHeartbeats();
    cluster.timers.After(kHeartbeatInterval, [this] { SendHeartbeatsRegularly(); });
  }

  JobId Submit(const RegisteredJob& job, std::vector<JobId>& jobs) {
    JobId id = MakeJobId(++m_jobs);
    cr_assert(cluster.Submit(id, job).kind == JobReplyKind::kAccepted);
    jobs.push_back(id);
    for (const DeadlyTask& task : job.deadly_tasks) {
      m_deadly_tasks.push_back(TaskName{id, 0, task.step, task.index});
    }
    return id;
  }

  void RecordStates() {
    for (const std::vector<JobId>* const jobs : {&m_innocent, &m_deadly}) {
      for (const JobId& job : *jobs) {
        const WorkState state = StateOf(job);
        if (HasEnded(state)) {
          m_ended[job] = state;
        }
      }
    }
  }

  void ExpectNoViolations() const {
    for (const std::string& violation : cluster.minions.violations()) {
      cr_expect(false, "%s", violation.c_str());
    }
  }

  int m_jobs = 0;
  std::vector<JobId> m_innocent;
  std::vector<JobId> m_deadly;
  std::vector<TaskName> m_deadly_tasks;
  std::map<JobId, WorkState> m_ended;
};

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
  for (const int delay : {100, 1'000, 4'000}) {
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
