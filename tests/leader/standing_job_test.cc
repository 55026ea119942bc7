#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

/// A ready step for which there is room twice over must not wait longer.
constexpr Milliseconds kStartBound{3'000};
constexpr Milliseconds kStep{20};
constexpr Milliseconds kHeartbeatInterval{500};
constexpr Milliseconds kLong{60'000};
constexpr Milliseconds kMaxWait{40'000};
const JobId kStanding = MakeJobId(9);

RegisteredJob MakeTasks(int count, Milliseconds duration) {
  RegisteredJob job;
  job.work.steps = {MakeStep(count, 8)};
  job.work.steps[0].estimate = duration;
  job.duration = duration;
  return job;
}

/// A chain of short tasks that always takes one minion of the rack, which thus seems to be free
/// soon.
RegisteredJob MakeChain(int rack) {
  RegisteredJob job;
  job.duration = Milliseconds(2'000);
  for (int link = 0; link < 20; ++link) {
    job.work.steps.push_back(MakeStep(1, 8));
    job.work.steps.back().estimate = Milliseconds(6'000);
    job.work.steps.back().data_rack = RackId("r" + std::to_string(rack));
    if (link > 0) {
      job.work.steps.back().after = {link - 1};
    }
  }
  return job;
}

RegisteredJob MakeGang(int count) {
  RegisteredJob job = MakeTasks(count, kLong);
  job.work.steps[0].kind = WorkStepKind::kGang;
  job.work.steps[0].prefers_one_rack = true;
  job.work.steps[0].estimate = Milliseconds(8'500);
  return job;
}

struct Fleet : TestCluster {
  Fleet(int racks, int minions_of_each_rack) : TestCluster(1, 0) {
    for (int number = 0; number < racks * minions_of_each_rack; ++number) {
      minions.Add(MinionId("m" + std::to_string(number)),
                  RackId("r" + std::to_string(number / minions_of_each_rack)),
                  Resources{8'000, 8'000, 8});
    }
    RunWithHeartbeats(Milliseconds(2'000), kHeartbeatInterval);
  }

  std::size_t running() const { return minions.RunningOn(kStanding).size(); }

  /// Advances the time until that many tasks of the job run, and returns how long that took.
  Milliseconds TimeUntilRunning(std::size_t count) {
    const Milliseconds began_at = timers.clock().Now();
    do {
      RunWithHeartbeats(kStep, kStep);
    } while (running() != count && timers.clock().Now() - began_at < kMaxWait);
    return timers.clock().Now() - began_at;
  }

  void SubmitFailing(int number) {
    RegisteredJob job = MakeTasks(1, Milliseconds(200));
    job.failing_attempts = 10;
    Submit(MakeJobId(number), job);
  }
};

}  // namespace

Test(standing_job, job_is_started_though_tasks_of_others_have_failed_on_all_minions) {
  Fleet fleet(2, 2);
  for (int number = 100; number < 104; ++number) {
    fleet.SubmitFailing(number);
  }
  fleet.RunWithHeartbeats(Milliseconds(400), kStep);
  fleet.Submit(kStanding, MakeTasks(1, kLong));
  const Milliseconds waited = fleet.TimeUntilRunning(1);
  cr_assert_leq(waited, kStartBound, "waited %ld ms", static_cast<long>(waited.count()));
}

Test(standing_job, gang_is_not_held_for_a_rack_after_it_has_waited_for_isolation) {
  Fleet fleet(8, 5);
  for (int rack = 1; rack < 8; ++rack) {
    fleet.Submit(MakeJobId(20 + 2 * rack), MakeChain(rack));
    fleet.Submit(MakeJobId(21 + 2 * rack), MakeChain(rack));
  }
  fleet.Submit(kStanding, MakeGang(5), Priority(2));
  fleet.TimeUntilRunning(5);
  fleet.minions.Crash(fleet.minions.RunningOn(kStanding)[0], MinionOutage{Milliseconds(200)});
  fleet.Submit(MakeJobId(20), MakeChain(0));
  fleet.Submit(MakeJobId(21), MakeChain(0));
  const Milliseconds waited = fleet.TimeUntilRunning(5);
  cr_assert_leq(waited, kStartBound, "waited %ld ms", static_cast<long>(waited.count()));
}

// A hold that waited was not cut short, and the run that had never begun was found gone two waits
// later.
Test(standing_job, job_is_started_soon_after_the_minion_of_its_lost_start_answers_again) {
  for (const std::int64_t silence : {2'000, 2'600, 2'750, 2'900, 3'050, 3'200}) {
    Fleet fleet(4, 3);
    fleet.minions.SetReachable(MinionId("m0"), false);
    fleet.Submit(kStanding, MakeTasks(1, kLong));
    fleet.RunWithHeartbeats(Milliseconds(silence), kStep);
    fleet.minions.SetReachable(MinionId("m0"), true);
    const Milliseconds waited = fleet.TimeUntilRunning(1);
    cr_assert_leq(waited, kStartBound, "waited %ld ms after %ld ms of silence",
                  static_cast<long>(waited.count()), static_cast<long>(silence));
  }
}

Test(standing_job, gang_is_not_held_for_a_rack_because_some_empty_minions_are_avoided) {
  Fleet fleet(4, 3);
  for (int rack = 0; rack < 4; ++rack) {
    fleet.Submit(MakeJobId(20 + rack), MakeChain(rack));
  }
  fleet.RunWithHeartbeats(Milliseconds(200), kStep);
  for (int number = 100; number < 103; ++number) {
    fleet.SubmitFailing(number);
  }
  fleet.RunWithHeartbeats(Milliseconds(400), kStep);
  fleet.Submit(kStanding, MakeGang(3), Priority(2));
  const Milliseconds waited = fleet.TimeUntilRunning(3);
  cr_assert_leq(waited, kStartBound, "waited %ld ms", static_cast<long>(waited.count()));
}

}  // namespace papayalift
