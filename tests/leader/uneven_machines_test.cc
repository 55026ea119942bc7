#include <criterion/criterion.h>
#include <fmt/format.h>

#include <deque>

#include "leader/test_cluster.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/leader/host_speed_record.h"

namespace papayalift {

namespace {

constexpr int kMinions = 9;
/// The simulated minions answer a hold after two seconds, so that short tasks show no rate.
constexpr Milliseconds kDuration{12'000};
constexpr Milliseconds kJobInterval{20'000};

MinionId MinionOf(int number) { return MinionId(fmt::format("m{}", number)); }

/// Nine minions, of which every third is 2.4 times as fast as the others.
struct UnevenCluster {
  UnevenCluster() : cluster(2, kMinions) {
    for (int number = 0; number < kMinions; ++number) {
      cluster.minions.SetSpeed(MinionOf(number), number % 3 == 2 ? 1.7 : 0.7);
    }
  }

  /// Jobs of independent tasks on all minions.
  void Work(int jobs) {
    for (int number = 0; number < jobs; ++number) {
      RegisteredJob job;
      job.work.steps = {MakeStep(2 * kMinions, 4)};
      job.work.steps[0].estimate = kDuration;
      job.duration = kDuration;
      cluster.Submit(MakeJobId(++last_job), job);
      cluster.RunWithHeartbeats(kJobInterval, Milliseconds(500));
    }
  }

  SpeedSpread Spread() {
    return cluster.leader()->session()->state().host_speeds.SpreadOf(ServiceId("pool"));
  }

  double SpeedOf(int number) {
    const LeaderState& state = cluster.leader()->session()->state();
    return state.host_speeds.SpeedOf(state.minions.at(MinionOf(number)).host, Spread(),
                                     cluster.timers.clock().Now());
  }

  bool HasRecord() { return cluster.store.Find(kSpeedsKey) != nullptr; }

  TestCluster cluster;
  int last_job = 0;
};

}  // namespace

Test(uneven_machines, leader_learns_which_machines_are_fast) {
  UnevenCluster uneven;
  uneven.Work(8);
  cr_assert(uneven.Spread().is_uneven);
  for (int number = 0; number < kMinions; ++number) {
    cr_assert_eq(uneven.SpeedOf(number) >= uneven.Spread().fast_from, number % 3 == 2);
  }
}

Test(uneven_machines, leader_that_follows_a_killed_one_knows_the_speeds) {
  UnevenCluster uneven;
  uneven.Work(8);
  const std::size_t killed = uneven.cluster.leader_index();
  uneven.cluster.Kill(killed);
  uneven.cluster.RunWithHeartbeats(Milliseconds(15'000), Milliseconds(500));
  cr_assert(uneven.cluster.leader() != nullptr);
  cr_assert_neq(uneven.cluster.leader_index(), killed);
  cr_assert(uneven.Spread().is_uneven);
  cr_assert_gt(uneven.SpeedOf(2), 1.5 * uneven.SpeedOf(0));
}

Test(uneven_machines, malformed_record_costs_only_what_was_learned) {
  UnevenCluster uneven;
  uneven.Work(8);
  uneven.cluster.store.Put(kSpeedsKey, "no record");
  uneven.cluster.Kill(uneven.cluster.leader_index());
  uneven.cluster.RunWithHeartbeats(Milliseconds(15'000), Milliseconds(500));
  cr_assert(uneven.cluster.leader() != nullptr);
  cr_assert_not(uneven.Spread().is_uneven);
  uneven.Work(8);
  cr_assert(uneven.Spread().is_uneven);
}

Test(uneven_machines, even_machines_are_not_recorded) {
  UnevenCluster uneven;
  for (int number = 0; number < kMinions; ++number) {
    uneven.cluster.minions.SetSpeed(MinionOf(number), 0.8 + 0.2 * (number % 3));
  }
  uneven.Work(8);
  cr_assert_not(uneven.Spread().is_uneven);
  cr_assert_not(uneven.HasRecord());
}

// The speeds stay known in memory, and are stored once the store answers again.
Test(uneven_machines, record_is_written_after_the_store_was_away) {
  UnevenCluster uneven;
  uneven.Work(1);
  const std::size_t leader = uneven.cluster.leader_index();
  // The store refuses what is written for a while.
  uneven.cluster.node(leader).store().FailNextCommits(
      std::deque<StoreFault>(40, StoreFault::kRefused));
  uneven.Work(9);
  cr_assert(uneven.Spread().is_uneven);
  uneven.cluster.RunWithHeartbeats(Milliseconds(12'000), Milliseconds(500));
  cr_assert(uneven.HasRecord());
}

}  // namespace papayalift
