#include "libraries/job_requests/withdrawal_limiter.h"

#include <criterion/criterion.h>

namespace papayalift {

namespace {

const WorkspaceId kShop("shop");
const WorkspaceId kYard("yard");

/// Uses up what the workspace may store without a pause.
void UseUp(WithdrawalLimiter& limiter, const WorkspaceId& workspace, int count) {
  for (int number = 0; number < count; ++number) {
    cr_assert_not(limiter.Admit(workspace, Milliseconds(0)).has_value());
  }
}

}  // namespace

Test(withdrawal_limiter, workspace_beyond_its_burst_is_refused_and_others_are_not) {
  WithdrawalLimiter limiter{WithdrawalLimits{}};
  UseUp(limiter, kShop, 50);
  cr_assert(limiter.Admit(kShop, Milliseconds(0)).has_value());
  UseUp(limiter, kYard, 50);
  cr_assert(limiter.Admit(WorkspaceId("third"), Milliseconds(0)).has_value(),
            "all together have used up what the node may store");
}

Test(withdrawal_limiter, consumer_that_comes_back_when_told_is_admitted) {
  WithdrawalLimiter limiter{WithdrawalLimits{}};
  UseUp(limiter, kShop, 50);
  const std::optional<Milliseconds> first = limiter.Admit(kShop, Milliseconds(0));
  const std::optional<Milliseconds> second = limiter.Admit(kShop, Milliseconds(0));
  cr_assert(first.has_value() && second.has_value());
  cr_assert(*second > *first, "each is told a time of its own");
  cr_assert(limiter.Admit(kShop, *first - Milliseconds(10)).has_value());
  cr_assert_not(limiter.Admit(kShop, *first).has_value());
  cr_assert_not(limiter.Admit(kShop, *second).has_value());
}

Test(withdrawal_limiter, no_consumer_is_told_to_wait_longer_than_a_minute) {
  WithdrawalLimiter limiter{WithdrawalLimits{}};
  UseUp(limiter, kShop, 50);
  for (int number = 0; number < 10'000; ++number) {
    cr_assert(*limiter.Admit(kShop, Milliseconds(number)) <= Milliseconds(60'000));
  }
}

Test(withdrawal_limiter, three_hundred_nodes_leave_most_writes_to_the_rest) {
  constexpr double kWritesPerSecond = 400;
  constexpr int kNodes = 300;
  const WithdrawalLimits limits = WithdrawalLimits::ForStore(kWritesPerSecond);
  cr_assert_leq(limits.node_rate * kNodes, kWritesPerSecond / 4 + 1e-6);
  cr_assert_lt(limits.workspace_rate, limits.node_rate);
}

}  // namespace papayalift
