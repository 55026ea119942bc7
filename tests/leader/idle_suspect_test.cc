#include <criterion/criterion.h>

#include "leader/idle_job_check.h"

namespace papayalift {

namespace {

constexpr int kMinions = 12;
constexpr int kDrained = 4;
constexpr Milliseconds kFillerDuration{90'000};
constexpr Milliseconds kSuspectDuration{30'000};
const JobId kFiller = MakeJobId(1);
const JobId kSuspect = MakeJobId(2);

/// One task on each minion.
RegisteredJob MakeFiller() {
  RegisteredJob job;
  job.work.steps = {MakeStep(kMinions - kDrained, 5)};
  job.work.steps[0].needs = Resources{5'000, 5'000, 5};
  job.work.steps[0].max_tasks_per_worker = 1;
  job.work.steps[0].estimate = kFillerDuration;
  job.duration = kFillerDuration;
  return job;
}

RegisteredJob MakeSuspect() {
  RegisteredJob job;
  job.work.steps = {MakeStep(1, 1)};
  job.work.steps[0].estimate = kSuspectDuration;
  job.duration = kSuspectDuration;
  return job;
}

}  // namespace

// It waits 20 s for a minion without runs, as the empty minions that drain do not count as spare.
Test(idle_suspect, beside_minions_that_drain_is_not_left_waiting) {
  TestCluster cluster(1, kMinions);
  IdleJobCheck check(cluster.timers, cluster.minions);
  for (int number = 0; number < kDrained; ++number) {
    cluster.minions.SetDraining(MinionId("m" + std::to_string(number)));
  }
  cluster.Run(Milliseconds(1'000));
  cluster.Submit(kFiller, MakeFiller());
  cluster.Run(Milliseconds(1'000));
  cluster.Submit(kSuspect, MakeSuspect());
  check.Watch(kSuspect, MakeSuspect().work);
  cluster.Run(Milliseconds(500));
  cluster.minions.Crash(cluster.minions.RunningOn(kSuspect).at(0));
  cluster.Run(Milliseconds(12'000));
  for (const auto& [id, seen] : check.idle_jobs()) {
    cr_expect(false, "%s", seen.c_str());
  }
  cr_expect_eq(cluster.minions.RunningOn(kSuspect).size(), 1);
}

}  // namespace papayalift
