#include "leader/crash_scenario.h"

namespace papayalift {

namespace {

/// A task that could run must not stand still for longer.
constexpr Milliseconds kMaxStandstill{3'000};
constexpr Milliseconds kTimeDown{1'000};
/// After a crash the platform still lists the minion for this long at most.
constexpr Milliseconds kMaxTimeListed{3'100};

/// One job of one task on six minions.
struct ReplacementScenario : CrashScenario {
  ReplacementScenario() : CrashScenario(6) {
    job = SubmitInnocent(MakeJob(1, 1, Milliseconds(20'000)));
    RunUntilStarted(job);
    Run(Milliseconds(2'000));
    holder = cluster.minions.RunningOn(job).front();
  }

  void CrashHolder() {
    cluster.minions.Crash(holder, MinionOutage{kTimeDown, MinionReturn::kNewId});
  }
  void RunUntilLed() {
    for (Milliseconds waited{0}; cluster.leader() == nullptr && waited < kMaxTimeToGiveUp;
         waited += kStep) {
      cluster.Run(kStep);
    }
  }
  void ExpectDone() {
    Run(Milliseconds(30'000));
    ExpectInnocentJobsDone();
  }

  JobId job;
  MinionId holder;
};

}  // namespace

// A new leader waited 10.4 s for the lease of a process whose successor was registered at its
// address, so a job had nothing running at the end of a day (issue 32, LOST).
Test(replaced_minion, that_left_before_a_change_of_leader_gives_its_task_up_at_once) {
  ReplacementScenario scenario;
  for (std::size_t index = 0; index < kNodes; ++index) {
    scenario.cluster.Kill(index);
  }
  scenario.CrashHolder();
  scenario.cluster.Run(kMaxTimeListed);
  for (std::size_t index = 0; index < kNodes; ++index) {
    scenario.cluster.Restart(index);
  }
  scenario.RunUntilLed();
  scenario.cluster.Run(kMaxStandstill);
  cr_expect_eq(scenario.cluster.minions.RunningOn(scenario.job).size(), 1);
  scenario.ExpectDone();
}

// The same wait, of 6 s, in the term of the leader that had started the task.
Test(replaced_minion, that_crashes_gives_its_task_up_once_its_successor_is_registered) {
  ReplacementScenario scenario;
  scenario.CrashHolder();
  scenario.cluster.Run(kTimeDown + kMaxStandstill);
  cr_expect_eq(scenario.cluster.minions.RunningOn(scenario.job).size(), 1);
  scenario.ExpectDone();
}

// A minion that had left the registry was never asked by a new leader, and its run was given up.
Test(replaced_minion, that_is_only_cut_off_from_the_store_keeps_its_task_at_a_change_of_leader) {
  ReplacementScenario scenario;
  scenario.cluster.minions.SetCutOffFromStore(scenario.holder, true);
  scenario.cluster.store.Remove("servers/" + scenario.holder.text());
  scenario.cluster.Run(Milliseconds(500));
  scenario.KillLeader();
  scenario.ExpectDone();
  cr_expect_eq(scenario.cluster.minions.starts(scenario.job), 1);
}

}  // namespace papayalift
