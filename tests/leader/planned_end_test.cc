#include "leader/crash_scenario.h"

namespace papayalift {

namespace {

constexpr Milliseconds kNotice{2'200};

MinionOutage ReturnAs(MinionReturn comes_back) {
  MinionOutage outage;
  outage.duration = Milliseconds(1'000);
  outage.comes_back = comes_back;
  return outage;
}

/// Sixteen minions and three nodes. Each time that the job has started, its minion drains and
/// leaves; `beside` is called with the minion just before it drains.
void CheckDrainsFailNoJob(int rounds, const MinionOutage& outage,
                          const std::function<void(CrashScenario&, const MinionId&)>& beside) {
  CrashScenario scenario(16);
  const JobId job = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(9'000)));
  for (int round = 0; round < rounds; ++round) {
    scenario.RunUntilStarted(job);
    scenario.cluster.Run(Milliseconds(1'000));
    const std::vector<MinionId> holders = scenario.cluster.minions.RunningOn(job);
    cr_assert_not(holders.empty(), "after %d drains the job does not run", round);
    const MinionId& minion = holders.front();
    beside(scenario, minion);
    scenario.cluster.minions.Drain(minion, kNotice, outage);
    scenario.cluster.Run(kNotice + Milliseconds(1));
  }
  scenario.Run(kMaxTimeToGiveUp);
  scenario.ExpectInnocentJobsDone();
  cr_expect_geq(scenario.cluster.minions.starts(job), rounds + 1);
}

void KillLeaderIn(CrashScenario& scenario, Milliseconds delay) {
  scenario.cluster.timers.After(delay, [&scenario] { scenario.KillLeader(); });
}

}  // namespace

// The entry of a minion's new process cleared the drain of the former one, whose runs were not yet
// found missing: planned restarts counted as crashes (review/11).
Test(planned_end, of_minions_that_restart_under_their_ids_fails_no_job) {
  CheckDrainsFailNoJob(5, ReturnAs(MinionReturn::kSameId), [](CrashScenario&, const MinionId&) {});
}

// The same while the leader that has seen the drain ends before its successor is registered.
Test(planned_end, of_minions_that_restart_under_their_ids_as_the_leader_changes_fails_no_job) {
  CheckDrainsFailNoJob(5, ReturnAs(MinionReturn::kSameId),
                       [](CrashScenario& scenario, const MinionId&) {
                         KillLeaderIn(scenario, kNotice + Milliseconds(600));
                       });
}

// Only the leader that ended had seen the drain; the minion at the address counted as the proof of
// a crash (review/13).
Test(planned_end, of_minions_that_are_replaced_as_the_leader_changes_fails_no_job) {
  CheckDrainsFailNoJob(4, ReturnAs(MinionReturn::kNewId),
                       [](CrashScenario& scenario, const MinionId&) {
                         KillLeaderIn(scenario, kNotice + Milliseconds(600));
                       });
}

// Each loss stayed open, and five with minions that are gone gave the task up (review/13, gone).
Test(planned_end, of_minions_without_successors_as_the_leader_changes_fails_no_job) {
  CheckDrainsFailNoJob(6, ReturnAs(MinionReturn::kNever),
                       [](CrashScenario& scenario, const MinionId&) {
                         KillLeaderIn(scenario, kNotice + Milliseconds(600));
                       });
}

// The store forgets its history, so that only what the leader has stored tells of the drain.
Test(planned_end, that_a_leader_has_stored_fails_no_job_without_history) {
  for (const MinionReturn comes_back :
       {MinionReturn::kSameId, MinionReturn::kNewId, MinionReturn::kNever}) {
    CheckDrainsFailNoJob(6, ReturnAs(comes_back), [](CrashScenario& scenario, const MinionId&) {
      KillLeaderIn(scenario, kNotice + Milliseconds(600));
      scenario.cluster.timers.After(kNotice + Milliseconds(500),
                                    [&scenario] { scenario.cluster.store.CompactHistory(); });
    });
  }
}

// No leader has seen the drain: all nodes are gone from before it until the successor is up. The
// store's history still tells it.
Test(planned_end, that_nobody_has_seen_fails_no_job) {
  CheckDrainsFailNoJob(
      4, ReturnAs(MinionReturn::kNewId), [](CrashScenario& scenario, const MinionId&) {
        for (std::size_t index = 0; index < kNodes; ++index) {
          scenario.cluster.Kill(index);
          scenario.cluster.timers.After(kNotice + Milliseconds(2'000),
                                        [&scenario, index] { scenario.cluster.Restart(index); });
        }
      });
}

// A heartbeat from before the drain that the store carries out after it takes nothing back.
Test(planned_end, announced_before_a_late_heartbeat_fails_no_job) {
  CheckDrainsFailNoJob(5, ReturnAs(MinionReturn::kSameId),
                       [](CrashScenario& scenario, const MinionId& minion) {
                         scenario.cluster.minions.RepeatEntryLater(minion, kNotice - kStep);
                       });
}

// The other way: an announcement speaks for its own process alone. A task that crashes its minions
// is given up as early under minions that have drained and come back under their ids.
Test(planned_end, of_a_former_process_excuses_no_crash_of_the_next) {
  CrashScenario scenario(4);
  scenario.cluster.minions.RestartInTurn(Milliseconds(100), MinionOutage{});
  scenario.Run(Milliseconds(10'000));
  for (int number = 0; number < 4; ++number) {
    scenario.cluster.minions.Drain(MinionId("m" + std::to_string(number)), kNotice,
                                   ReturnAs(MinionReturn::kSameId));
  }
  scenario.Run(Milliseconds(4'000));
  scenario.SubmitDeadly(MakeDeadlyJob());
  // An entry of the former process says nothing of the one that crashes.
  for (int number = 0; number < 4; ++number) {
    scenario.cluster.minions.RepeatEntryLater(MinionId("m" + std::to_string(number)),
                                              Milliseconds(700));
  }
  scenario.Run(kMaxTimeToGiveUp);
  scenario.ExpectDeadlyJobsGivenUp();
}

}  // namespace papayalift
