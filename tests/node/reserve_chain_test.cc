#include "libraries/node/reserve_chain.h"

#include <criterion/criterion.h>

#include <string>

#include "node/assert_held.h"
#include "node/fleet_checks.h"

namespace papayalift {

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

}  // namespace papayalift
