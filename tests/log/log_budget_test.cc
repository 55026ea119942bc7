#include "libraries/log/log_budget.h"

#include <criterion/criterion.h>

namespace papayalift {

Test(log_budget, flood_of_one_kind_leaves_others_alone) {
  LogBudget budget(10, 20);
  int admitted = 0;
  for (int line = 0; line < 1'000; ++line) {
    admitted += budget.Admit("flood", Milliseconds(0)) ? 1 : 0;
  }
  cr_assert_eq(admitted, 20);
  cr_assert(budget.Admit("rare", Milliseconds(0)));
  const LogBudget::LeftOut left_out = budget.TakeLeftOut();
  cr_assert_eq(left_out.kind, "flood");
  cr_assert_eq(left_out.lines, 980);
  cr_assert(budget.TakeLeftOut().kind.empty());
}

Test(log_budget, time_fills_it_again_up_to_the_burst) {
  LogBudget budget(10, 20);
  while (budget.Admit("kind", Milliseconds(0))) {
  }
  int admitted = 0;
  while (budget.Admit("kind", Milliseconds(1'000))) {
    ++admitted;
  }
  cr_assert_eq(admitted, 10);
  admitted = 0;
  while (budget.Admit("kind", Milliseconds(100'000))) {
    ++admitted;
  }
  cr_assert_eq(admitted, 20);
}

}  // namespace papayalift
