#include "libraries/http/body_budget.h"

#include <criterion/criterion.h>

#include <memory>
#include <vector>

#include "libraries/base/manual_clock.h"
#include "libraries/http/arriving_body.h"

namespace papayalift {

namespace {

constexpr std::size_t kKilobyte = 1'024;
constexpr std::size_t kMegabyte = 1'024 * kKilobyte;
/// Of 8 MB for bodies, 6 MB are for large ones.
constexpr std::size_t kMemoryBytes = 32 * kMegabyte;

struct BudgetFixture {
  std::unique_ptr<ArrivingBody> Open(std::size_t max_bytes = kMegabyte) {
    return std::make_unique<ArrivingBody>(budget, nullptr, max_bytes, [this] { ++closed; });
  }

  /// Opens `count` bodies of `bytes` each, one a millisecond, which then stay incomplete.
  std::vector<std::unique_ptr<ArrivingBody>> OpenCrowd(int count, std::size_t bytes) {
    std::vector<std::unique_ptr<ArrivingBody>> crowd;
    for (int number = 0; number < count; ++number) {
      crowd.push_back(Open());
      crowd.back()->Append(std::string(bytes, 'x'));
      clock.Advance(Milliseconds(1));
    }
    return crowd;
  }

  /// Checks once a second, as the servers do.
  void PassSeconds(int seconds) {
    for (int second = 0; second < seconds; ++second) {
      clock.Advance(Milliseconds(1'000));
      budget.EndSlowBodies();
    }
  }

  ManualClock clock;
  BodyBudget budget{clock, BodyBudgetLimits::ForMemory(kMemoryBytes)};
  int closed = 0;
};

}  // namespace

Test(body_budget, body_inside_limits_is_kept_whole) {
  BudgetFixture fixture;
  const std::unique_ptr<ArrivingBody> body = fixture.Open();
  const std::string half(kMegabyte / 2, 'x');
  cr_expect(body->Announce(kMegabyte) == BodyVerdict::kKept);
  cr_expect(body->Append(half) == BodyVerdict::kKept);
  cr_expect(body->Append(half) == BodyVerdict::kKept);
  std::string whole;
  cr_expect(body->Complete(whole) == BodyVerdict::kKept);
  cr_expect(whole == half + half);
}

Test(body_budget, crowd_of_large_bodies_stays_within_large_part) {
  BudgetFixture fixture;
  const auto crowd = fixture.OpenCrowd(100, kMegabyte - 1);
  cr_expect_leq(fixture.budget.stats().held_bytes, 6 * kMegabyte);
  cr_expect_eq(fixture.closed, fixture.budget.stats().evicted);
  cr_expect_gt(fixture.closed, 0);
}

Test(body_budget, crowd_of_small_bodies_stays_within_total) {
  BudgetFixture fixture;
  const auto crowd = fixture.OpenCrowd(1'000, 40 * kKilobyte);
  cr_expect_leq(fixture.budget.stats().held_bytes, 8 * kMegabyte);
}

Test(body_budget, small_body_is_kept_beside_crowd_of_large_bodies) {
  BudgetFixture fixture;
  const auto crowd = fixture.OpenCrowd(100, kMegabyte - 1);
  const int closed_before = fixture.closed;
  const std::unique_ptr<ArrivingBody> body = fixture.Open();
  cr_expect(body->Append(std::string(20 * kKilobyte, 'x')) == BodyVerdict::kKept);
  cr_expect_eq(fixture.closed, closed_before);
}

Test(body_budget, new_large_body_is_kept_and_oldest_large_body_is_closed) {
  BudgetFixture fixture;
  const auto crowd = fixture.OpenCrowd(6, kMegabyte);
  cr_expect_eq(fixture.closed, 0);
  const std::unique_ptr<ArrivingBody> body = fixture.Open();
  cr_expect(body->Append(std::string(kMegabyte, 'x')) == BodyVerdict::kKept);
  cr_expect_eq(fixture.closed, 1);
  cr_expect(crowd.front()->Append("x") == BodyVerdict::kClose);
}

Test(body_budget, complete_body_is_not_closed_and_counts_until_it_is_destroyed) {
  BudgetFixture fixture;
  auto crowd = fixture.OpenCrowd(6, kMegabyte);
  std::string text;
  for (const std::unique_ptr<ArrivingBody>& body : crowd) {
    cr_expect(body->Complete(text) == BodyVerdict::kKept);
  }
  const std::unique_ptr<ArrivingBody> refused = fixture.Open();
  cr_expect(refused->Append(std::string(kMegabyte, 'x')) == BodyVerdict::kOverBudget);
  cr_expect_eq(fixture.closed, 0);
  cr_expect_eq(fixture.budget.stats().over_budget, 1);
  crowd.clear();
  cr_expect_eq(fixture.budget.stats().held_bytes, 0);
}

Test(body_budget, refused_body_holds_nothing_and_never_becomes_complete) {
  BudgetFixture fixture;
  const std::unique_ptr<ArrivingBody> body = fixture.Open();
  body->Append(std::string(kMegabyte, 'x'));
  cr_expect(body->Append("x") == BodyVerdict::kTooLarge);
  cr_expect_eq(fixture.budget.stats().held_bytes, 0);
  std::string text;
  cr_expect(body->Complete(text) == BodyVerdict::kTooLarge);
  cr_expect(text.empty());
}

Test(body_budget, refused_body_that_goes_on_is_closed) {
  BudgetFixture fixture;
  const std::unique_ptr<ArrivingBody> body = fixture.Open();
  const std::string megabyte(kMegabyte, 'x');
  for (int count = 0; count < 4; ++count) {
    cr_expect(body->Append(megabyte) != BodyVerdict::kClose);
  }
  cr_expect(body->Append("x") == BodyVerdict::kClose);
  cr_expect_eq(fixture.budget.stats().flooding, 1);
}

Test(body_budget, announced_size_over_limit_is_refused_before_any_byte) {
  BudgetFixture fixture;
  const std::unique_ptr<ArrivingBody> body = fixture.Open();
  cr_expect(body->Announce(kMegabyte + 1) == BodyVerdict::kTooLarge);
  cr_expect(body->Append("x") == BodyVerdict::kTooLarge);
  cr_expect_eq(fixture.budget.stats().held_bytes, 0);
  cr_expect(fixture.Open()->Announce(64 * kMegabyte) == BodyVerdict::kClose);
}

// Each byte renews the idle timeout of the connection, so that the body would never end.
Test(body_budget, body_that_comes_drop_by_drop_is_closed) {
  BudgetFixture fixture;
  const std::unique_ptr<ArrivingBody> body = fixture.Open();
  for (int second = 0; second < 11; ++second) {
    body->Append("x");
    fixture.PassSeconds(1);
  }
  cr_expect_eq(fixture.closed, 1);
  cr_expect_eq(fixture.budget.stats().too_slow, 1);
  cr_expect_eq(fixture.budget.stats().held_bytes, 0);
}

Test(body_budget, large_body_that_stops_short_is_closed) {
  BudgetFixture fixture;
  const std::unique_ptr<ArrivingBody> body = fixture.Open();
  body->Append(std::string(kMegabyte - 1, 'x'));
  fixture.PassSeconds(21);
  cr_expect_eq(fixture.closed, 1);
}

Test(body_budget, slow_body_over_minimum_rate_and_complete_body_stay) {
  BudgetFixture fixture;
  const std::unique_ptr<ArrivingBody> complete = fixture.Open();
  std::string text;
  complete->Complete(text);
  const std::unique_ptr<ArrivingBody> body = fixture.Open();
  for (int second = 0; second < 40; ++second) {
    cr_expect(body->Append(std::string(kKilobyte, 'x')) == BodyVerdict::kKept);
    fixture.PassSeconds(1);
  }
  cr_expect_eq(fixture.closed, 0);
}

// A process that stood still has not read what arrived meanwhile.
Test(body_budget, body_is_not_slow_because_the_process_stood_still) {
  BudgetFixture fixture;
  const std::unique_ptr<ArrivingBody> body = fixture.Open();
  fixture.clock.Advance(Milliseconds(30'000));
  fixture.budget.EndSlowBodies();
  cr_expect_eq(fixture.closed, 0);
}

// Stalled small bodies fit into the budget, but took all connections, so that nobody else could
// connect.
Test(body_budget, connection_is_made_room_for_by_largest_stalled_body_of_its_server) {
  BudgetFixture fixture;
  auto crowd = fixture.OpenCrowd(3, 10 * kKilobyte);
  crowd[1]->Append(std::string(30 * kKilobyte, 'x'));
  fixture.budget.EndStalledBody(nullptr);
  cr_expect_eq(fixture.closed, 0, "no body has been arriving for long");
  fixture.PassSeconds(2);
  fixture.budget.EndStalledBody(&fixture);
  cr_expect_eq(fixture.closed, 0, "these bodies are of another server");
  fixture.budget.EndStalledBody(nullptr);
  cr_expect_eq(fixture.closed, 1);
  cr_expect(crowd[1]->Append("x") == BodyVerdict::kClose);
}

// The weakest machines have 120 MB; callers send a few dozen bodies at once and have up to 600 open
// connections.
Test(body_budget, ordinary_load_fits_the_weakest_machine) {
  BudgetFixture fixture;
  BodyBudget budget(fixture.clock, BodyBudgetLimits::ForMemory(120 * kMegabyte));
  std::vector<std::unique_ptr<ArrivingBody>> bodies;
  for (int number = 0; number < 60; ++number) {
    const std::size_t bytes = number % 10 == 0 ? kMegabyte : 20 * kKilobyte;
    bodies.push_back(
        std::make_unique<ArrivingBody>(budget, nullptr, kMegabyte, [&] { ++fixture.closed; }));
    cr_expect(bodies.back()->Append(std::string(bytes, 'x')) == BodyVerdict::kKept);
  }
  cr_expect_eq(fixture.closed, 0);
  cr_expect_geq(ConnectionsForMemory(120 * kMegabyte, 28 * kKilobyte, 1'000), 1'000);
  cr_expect_geq(ConnectionsForMemory(120 * kMegabyte, 48 * kKilobyte, 1'000), 600);
}

}  // namespace papayalift
