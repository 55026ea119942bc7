#include "libraries/soak/soak_plan.h"

#include <criterion/criterion.h>

#include <set>

namespace papayalift {

namespace {

constexpr SoakSize kSize{.nodes = 3, .minions = 8, .duration = Milliseconds(60'000)};

bool IsOfMinion(SoakAction action) {
  return action == SoakAction::kNodesToMinion || action == SoakAction::kResetNodesToMinion ||
         action == SoakAction::kMinionRestarts || action == SoakAction::kMinionAnswersLost ||
         action == SoakAction::kMinionOrdersLate || action == SoakAction::kMinionRefuses ||
         action == SoakAction::kMinionGone || action == SoakAction::kMinionDrains ||
         action == SoakAction::kOddEntry;
}

}  // namespace

Test(soak_plan, same_seed_gives_the_same_plan) {
  const std::vector<SoakStep> left = MakeSoakPlan(7, kSize);
  const std::vector<SoakStep> right = MakeSoakPlan(7, kSize);
  cr_assert_eq(left.size(), right.size());
  for (std::size_t index = 0; index < left.size(); ++index) {
    cr_assert_eq(SoakStepText(left[index]), SoakStepText(right[index]));
  }
}

Test(soak_plan, steps_are_in_order_and_name_what_exists) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Milliseconds last{0};
    for (const SoakStep& step : MakeSoakPlan(seed, kSize)) {
      cr_assert(step.at >= last);
      cr_assert(step.target >= 0 &&
                step.target < (IsOfMinion(step.action) ? kSize.minions : kSize.nodes));
      cr_assert(step.link.state != LinkState::kOpen);
      last = step.at;
    }
  }
}

Test(soak_plan, some_seeds_bring_every_fault_and_overlaps) {
  std::set<SoakAction> seen;
  int overlaps = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Milliseconds free_from{0};
    for (const SoakStep& step : MakeSoakPlan(seed, kSize)) {
      seen.insert(step.action);
      overlaps += step.at < free_from ? 1 : 0;
      free_from = step.at + step.lasts;
    }
  }
  constexpr std::size_t kActions = 25;
  cr_assert_eq(seen.size(), kActions);
  cr_assert_gt(overlaps, 0);
}

Test(soak_plan, at_most_a_quarter_of_the_minions_is_gone_for_good) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    int gone = 0;
    for (const SoakStep& step : MakeSoakPlan(seed, kSize)) {
      gone += step.action == SoakAction::kMinionGone ? 1 : 0;
    }
    cr_assert_leq(gone, kSize.minions / 4);
  }
}

Test(soak_plan, some_seeds_kill_leaders_a_few_seconds_apart) {
  int series = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::vector<Milliseconds> kills;
    for (const SoakStep& step : MakeSoakPlan(seed, kSize)) {
      if (step.action == SoakAction::kKillLeader) {
        kills.push_back(step.at);
      }
    }
    for (std::size_t index = 1; index < kills.size(); ++index) {
      const Milliseconds gap = kills[index] - kills[index - 1];
      cr_assert(gap >= Milliseconds(3'500) && gap <= Milliseconds(7'000));
    }
    series += kills.size() > 2 ? 1 : 0;
  }
  cr_assert_gt(series, 0);
}

}  // namespace papayalift
