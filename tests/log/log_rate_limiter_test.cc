#include "libraries/log/log_rate_limiter.h"

#include <criterion/criterion.h>

namespace papayalift {

Test(log_rate_limiter, flood_of_one_kind_does_not_limit_other_kinds) {
  LogRateLimiter limiter(10, 20);
  int admitted = 0;
  for (int line = 0; line < 1'000; ++line) {
    admitted += limiter.Admit("flood", Milliseconds(0)) ? 1 : 0;
  }
  cr_assert_eq(admitted, 20);
  cr_assert(limiter.Admit("rare", Milliseconds(0)));
  const LogRateLimiter::SuppressedLines suppressed = limiter.TakeSuppressed();
  cr_assert_eq(suppressed.kind, "flood");
  cr_assert_eq(suppressed.lines, 980);
  cr_assert(limiter.TakeSuppressed().kind.empty());
}

Test(log_rate_limiter, elapsed_time_refills_up_to_the_burst) {
  LogRateLimiter limiter(10, 20);
  while (limiter.Admit("kind", Milliseconds(0))) {
  }
  int admitted = 0;
  while (limiter.Admit("kind", Milliseconds(1'000))) {
    ++admitted;
  }
  cr_assert_eq(admitted, 10);
  admitted = 0;
  while (limiter.Admit("kind", Milliseconds(100'000))) {
    ++admitted;
  }
  cr_assert_eq(admitted, 20);
}

}  // namespace papayalift
