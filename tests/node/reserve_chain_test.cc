#include "libraries/node/reserve_chain.h"

#include <criterion/criterion.h>

#include <string>

#include "libraries/node/ownership.h"
#include "node/assert_held.h"
#include "node/fleet_checks.h"

namespace papayalift {

namespace {

/// A job that fills one worker, named so that `owner` owns it while both nodes are live.
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

Test(reserve_chain, turn_is_passed_on_with_the_raised_ledger) {
  ReserveChain chain({{ZoneId("a"), Revision(3)}, {ZoneId("b"), Revision(5)}});
  cr_assert(chain.TakeTurn() == ReserveTurn::kMine);
  cr_assert(chain.TakeTurn() == ReserveTurn::kLater);
  chain.PassOn(ZoneId("a"), Revision(9));
  cr_assert(chain.TakeTurn() == ReserveTurn::kMine);
  cr_assert(chain.ledgers().at(ZoneId("a")) == Revision(9));
  cr_assert(chain.ledgers().at(ZoneId("b")) == Revision(5));
}

Test(reserve_chain, broken_gives_nobody_a_turn) {
  ReserveChain chain({});
  cr_assert(chain.TakeTurn() == ReserveTurn::kMine);
  chain.Break();
  cr_assert(chain.TakeTurn() == ReserveTurn::kNever);
}

Test(reserve_chain, burst_of_jobs_costs_one_reservation_each) {
  constexpr int kJobs = 16;
  TestFleet fleet(1);
  FleetChecks checks(fleet);
  for (int count = 0; count < kJobs; ++count) {
    fleet.Submit(SpecOf("job-" + std::to_string(count), 1, 1));
  }
  TestNode& node = fleet.node(0);
  const int before = node.store().commits();
  node.Turn();
  cr_assert_eq(fleet.farm().starts().size(), static_cast<std::size_t>(kJobs));
  // One to reserve and one to commit.
  cr_assert_eq(node.store().commits() - before, 2 * kJobs);
  AssertHeld(checks.Broken());
}

Test(reserve_chain, two_nodes_at_once_hold_no_accelerator_twice) {
  constexpr int kJobs = 16;
  TestFleet fleet(2);
  FleetChecks checks(fleet);
  for (int count = 0; count < kJobs; ++count) {
    fleet.Submit(SpecOf("job-" + std::to_string(count), 1, 1));
  }
  for (int index = 0; index < 2; ++index) {
    fleet.node(index).Follow();
    fleet.node(index).Pass();
  }
  for (bool went_on = true; went_on;) {
    went_on = fleet.node(0).Step();
    went_on = fleet.node(1).Step() || went_on;
    AssertHeld(checks.Broken());
  }
  fleet.Run(Milliseconds(20'000));
  AssertHeld(checks.BrokenAtRest());
}

Test(reserve_chain, two_nodes_with_different_copies_hold_no_accelerator_twice) {
  TestFleet fleet(2);
  FleetChecks checks(fleet);
  fleet.Submit(SpecOwnedBy(fleet, 1, "ends"));
  fleet.Run(Milliseconds(1'000));
  fleet.Submit(SpecOwnedBy(fleet, 0, "first"));
  fleet.clock().Advance(Milliseconds(1));
  fleet.Submit(SpecOwnedBy(fleet, 1, "second"));
  // Node 0 plans around the job that runs; node 1 plans after it has ended, and knows of nothing
  // that node 0 does: both take the same worker.
  fleet.node(0).Follow();
  fleet.node(0).Pass();
  fleet.clock().Advance(Milliseconds(2'000));
  fleet.node(1).Follow();
  fleet.node(1).Round();
  cr_assert(fleet.node(1).Step());
  fleet.node(1).Follow();
  fleet.node(1).Pass();
  cr_assert(fleet.node(0).Step());
  cr_assert(fleet.node(1).Step());
  AssertHeld(checks.Broken());
  fleet.Run(Milliseconds(10'000));
  AssertHeld(checks.BrokenAtRest());
}

}  // namespace papayalift
