#include "libraries/node/reservation_sequencer.h"

#include <criterion/criterion.h>

#include <string>

#include "libraries/node/ownership.h"
#include "node/assert_no_violation.h"
#include "node/fleet_invariants.h"

namespace papayalift {

namespace {

/// A job that fills one worker, with a key such that `owner` owns it while both nodes are live.
JobSpec SpecOwnedBy(TestFleet& fleet, int owner, const std::string& name) {
  const std::vector<NodeId> live{fleet.node(0).id(), fleet.node(1).id()};
  for (int count = 0;; ++count) {
    JobSpec spec = SpecOf(name + std::to_string(count), 1, 4);
    if (OwnerOf(JobIdOf(spec.workspace, spec.key), live) == fleet.node(owner).id()) {
      return spec;
    }
  }
}

}  // namespace

Test(reservation_sequencer, release_with_raised_ledger_is_seen_by_the_next_holder) {
  ReservationSequencer sequencer({{ZoneId("a"), Revision(3)}, {ZoneId("b"), Revision(5)}});
  cr_assert(sequencer.TryAcquire() == ReservationTurn::kAcquired);
  cr_assert(sequencer.TryAcquire() == ReservationTurn::kBusy);
  sequencer.Release(ZoneId("a"), Revision(9));
  cr_assert(sequencer.TryAcquire() == ReservationTurn::kAcquired);
  cr_assert(sequencer.ledgers().at(ZoneId("a")) == Revision(9));
  cr_assert(sequencer.ledgers().at(ZoneId("b")) == Revision(5));
}

Test(reservation_sequencer, invalidated_cannot_be_acquired) {
  ReservationSequencer sequencer({});
  cr_assert(sequencer.TryAcquire() == ReservationTurn::kAcquired);
  sequencer.Invalidate();
  cr_assert(sequencer.TryAcquire() == ReservationTurn::kInvalidated);
}

Test(reservation_sequencer, burst_of_jobs_costs_one_reservation_each) {
  constexpr int kJobs = 16;
  TestFleet fleet(1);
  FleetInvariants invariants(fleet);
  for (int count = 0; count < kJobs; ++count) {
    fleet.Submit(SpecOf("job-" + std::to_string(count), 1, 1));
  }
  TestNode& node = fleet.node(0);
  const int before = node.store().commits();
  node.RunCycle();
  cr_assert_eq(fleet.worker_pool().starts().size(), static_cast<std::size_t>(kJobs));
  // One transaction to reserve and one to commit.
  cr_assert_eq(node.store().commits() - before, 2 * kJobs);
  AssertNoViolation(invariants.FirstViolation());
}

Test(reservation_sequencer, two_nodes_at_once_hold_no_accelerator_twice) {
  constexpr int kJobs = 16;
  TestFleet fleet(2);
  FleetInvariants invariants(fleet);
  for (int count = 0; count < kJobs; ++count) {
    fleet.Submit(SpecOf("job-" + std::to_string(count), 1, 1));
  }
  for (int index = 0; index < 2; ++index) {
    fleet.node(index).Follow();
    fleet.node(index).RunPass();
  }
  for (bool went_on = true; went_on;) {
    went_on = fleet.node(0).Step();
    went_on = fleet.node(1).Step() || went_on;
    AssertNoViolation(invariants.FirstViolation());
  }
  fleet.Run(Milliseconds(20'000));
  AssertNoViolation(invariants.FirstViolationAtRest());
}

Test(reservation_sequencer, two_nodes_with_different_copies_hold_no_accelerator_twice) {
  TestFleet fleet(2);
  FleetInvariants invariants(fleet);
  fleet.Submit(SpecOwnedBy(fleet, 1, "ends"));
  fleet.Run(Milliseconds(1'000));
  fleet.Submit(SpecOwnedBy(fleet, 0, "first"));
  fleet.clock().Advance(Milliseconds(1));
  fleet.Submit(SpecOwnedBy(fleet, 1, "second"));
  // Node 0 decides while the first job runs; node 1 decides after it has ended, without knowing the
  // reservation of node 0. Both choose the same worker.
  fleet.node(0).Follow();
  fleet.node(0).RunPass();
  fleet.clock().Advance(Milliseconds(2'000));
  fleet.node(1).Follow();
  fleet.node(1).RenewLeases();
  cr_assert(fleet.node(1).Step());
  fleet.node(1).Follow();
  fleet.node(1).RunPass();
  cr_assert(fleet.node(0).Step());
  cr_assert(fleet.node(1).Step());
  AssertNoViolation(invariants.FirstViolation());
  fleet.Run(Milliseconds(10'000));
  AssertNoViolation(invariants.FirstViolationAtRest());
}

}  // namespace papayalift
