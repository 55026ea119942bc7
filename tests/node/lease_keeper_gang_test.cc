/// Tests how renewals affect a gang as a whole.
#include <criterion/criterion.h>

#include "node/assert_no_violation.h"
#include "node/fleet_invariants.h"

namespace papayalift {

namespace {

/// A gang of two tasks that runs for a minute, owned by node 0.
struct RenewedGangFixture {
  RenewedGangFixture() {
    fleet.SetLive({0});
    JobSpec spec = SpecOf("pair", 2, 4);
    spec.payload = "run 60s";
    job = fleet.Submit(spec);
    fleet.Run(Milliseconds(1'000));
    attempt = fleet.Placements().at(0).attempt_id;
  }

  void SetStore(StoreReach reach) {
    for (int index = 0; index < fleet.size(); ++index) {
      fleet.node(index).store().SetReach(reach);
    }
  }

  /// Runs the fleet and checks the invariants after each cycle.
  void RunChecked(Milliseconds time) {
    for (Milliseconds elapsed{0}; elapsed < time; elapsed += Milliseconds(250)) {
      fleet.Run(Milliseconds(250));
      AssertNoViolation(invariants.FirstViolation());
    }
  }

  TestFleet fleet{2};
  FleetInvariants invariants{fleet};
  JobId job;
  AttemptId attempt;
};

}  // namespace

Test(lease_keeper, store_down_for_all_nodes_gang_keeps_running) {
  RenewedGangFixture fixture;
  fixture.SetStore(StoreReach::kCutOff);
  fixture.RunChecked(Milliseconds(50'000));
  cr_assert(fixture.fleet.worker_pool().RunningAttempts().contains(fixture.attempt));
  fixture.SetStore(StoreReach::kReachable);
  fixture.RunChecked(Milliseconds(15'000));
  cr_assert(fixture.fleet.Job(fixture.job).state == JobState::kSucceeded);
}

Test(lease_keeper, store_down_for_the_owner_alone_stops_renewals) {
  RenewedGangFixture fixture;
  fixture.fleet.node(0).store().SetReach(StoreReach::kCutOff);
  fixture.RunChecked(Milliseconds(25'000));
  cr_assert(fixture.fleet.worker_pool().RunningAttempts().empty());
}

Test(lease_keeper, store_down_and_a_peer_silent_stops_renewals) {
  RenewedGangFixture fixture;
  fixture.SetStore(StoreReach::kCutOff);
  fixture.fleet.Isolate(1);
  fixture.RunChecked(Milliseconds(25'000));
  cr_assert(fixture.fleet.worker_pool().RunningAttempts().empty());
}

Test(lease_keeper, task_lost_while_the_store_is_down_gang_is_partial_for_one_lease) {
  RenewedGangFixture fixture;
  fixture.SetStore(StoreReach::kCutOff);
  fixture.RunChecked(Milliseconds(2'000));
  fixture.fleet.worker_pool().Restart(WorkerId("a1"));
  AssertNoViolation(fixture.invariants.FirstViolation());
  // The next round of renewals detects the loss some time after it happened.
  fixture.fleet.clock().Advance(Milliseconds(400));
  fixture.RunChecked(Milliseconds(20'000));
  cr_assert(fixture.fleet.worker_pool().RunningAttempts().empty());
}

Test(lease_keeper, owner_crashed_next_owner_takes_over_within_the_lease) {
  RenewedGangFixture fixture;
  fixture.fleet.Crash(0);
  fixture.fleet.clock().Advance(Milliseconds(9'000));
  fixture.fleet.SetLive({1});
  fixture.fleet.RunNode(1, Milliseconds(30'000));
  cr_assert(fixture.fleet.worker_pool().RunningAttempts().contains(fixture.attempt));
}

}  // namespace papayalift
