#include "libraries/leader/step_speed.h"

#include <criterion/criterion.h>

namespace papayalift {

namespace {

/// Two thirds of the machines at 0.7, one third at 1.7.
SpeedSpread UnevenSpread() { return SpeedSpread{350, 1, 0.7, 1.65, 1.07, true}; }

}  // namespace

// Load that it answers: urgent gangs of 2.1 s, on time within 1.5 times that and 250 ms.
Test(step_speed, urgent_step_needs_fast_minions) {
  const double speed = MinSpeedFor(Milliseconds(2'100), Milliseconds(3'400), UnevenSpread());
  cr_assert_gt(speed, 0.7);
  cr_assert_lt(speed, 1.4);
}

Test(step_speed, step_that_can_wait_needs_none) {
  cr_assert_eq(MinSpeedFor(Milliseconds(7'000), Milliseconds(22'000), UnevenSpread()), 0);
}

Test(step_speed, step_that_is_late_anywhere_needs_none) {
  cr_assert_eq(MinSpeedFor(Milliseconds(2'100), Milliseconds(900), UnevenSpread()), 0);
  cr_assert_eq(MinSpeedFor(Milliseconds(2'100), Milliseconds(-500), UnevenSpread()), 0);
}

Test(step_speed, no_step_needs_speed_where_machines_differ_little) {
  SpeedSpread spread = UnevenSpread();
  spread.is_uneven = false;
  cr_assert_eq(MinSpeedFor(Milliseconds(2'100), Milliseconds(3'400), spread), 0);
}

}  // namespace papayalift
