#include "leader/crash_scenario.h"

namespace papayalift {

namespace {

constexpr Milliseconds kCut{5'500};

/// Cuts the job's minion off `delay` after its start, for as long as the cut lasts.
void CutHolderOff(CrashScenario& scenario, const JobId& job, Milliseconds delay, OutageKind kind) {
  scenario.RunUntilStarted(job);
  scenario.cluster.Run(delay);
  const std::vector<MinionId> holders = scenario.cluster.minions.RunningOn(job);
  cr_assert(!holders.empty());
  scenario.cluster.minions.SetCutOffFromCallers(holders.front(), kind);
  scenario.cluster.timers.After(kCut, [&scenario, id = holders.front()] {
    scenario.cluster.minions.SetCutOffFromCallers(id, std::nullopt);
  });
  scenario.cluster.Run(kCut);
}

}  // namespace

// Refused connections were taken for the end of a minion's process, so two cuts gave a job up that
// no minion had crashed under (review/7).
Test(refused_minion, that_is_only_cut_off_fails_no_job_however_often) {
  for (const OutageKind kind : {OutageKind::kRefused, OutageKind::kReset, OutageKind::kSilent}) {
    for (const int delay : {100, 600, 900, 4'000}) {
      CrashScenario scenario(12);
      const JobId job = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(8'000)));
      for (int cut = 0; cut < 8; ++cut) {
        CutHolderOff(scenario, job, Milliseconds(delay), kind);
      }
      scenario.Run(kMaxTimeToGiveUp);
      scenario.ExpectInnocentJobsDone();
    }
  }
}

Test(refused_minion, that_is_only_cut_off_fails_no_job_when_leaders_change) {
  for (const int leader_killed_after : {0, 3'000, 5'000, 5'900}) {
    CrashScenario scenario(12);
    const JobId job = scenario.SubmitInnocent(MakeJob(1, 1, Milliseconds(8'000)));
    for (int cut = 0; cut < 8; ++cut) {
      scenario.cluster.timers.After(Milliseconds(leader_killed_after),
                                    [&scenario] { scenario.KillLeader(); });
      CutHolderOff(scenario, job, Milliseconds(600), OutageKind::kRefused);
    }
    scenario.Run(kMaxTimeToGiveUp);
    scenario.ExpectInnocentJobsDone();
  }
}

// What the evidence must not cost: a task that ends its minions for good is still given up.
Test(refused_minion, that_is_gone_for_good_after_each_start_fails_its_job) {
  for (const MinionReturn comes_back : {MinionReturn::kNever, MinionReturn::kSameId}) {
    for (const int leader_killed_after : {0, 400, 1'500, 6'000, 200'000}) {
      CrashScenario scenario(8);
      scenario.cluster.minions.SetOutageOfCrashes(
          MinionOutage{Milliseconds(600'000), comes_back, OutageKind::kRefused});
      scenario.SubmitDeadly(MakeDeadlyJob());
      scenario.RunAndAfterEach(
          [&scenario] { return scenario.cluster.minions.crashes(); }, 3 * kMaxTimeToGiveUp,
          [&scenario, leader_killed_after] {
            scenario.cluster.timers.After(Milliseconds(leader_killed_after),
                                          [&scenario] { scenario.KillLeader(); });
          });
      scenario.ExpectDeadlyJobsGivenUp();
    }
  }
}

}  // namespace papayalift
