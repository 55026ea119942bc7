#include "libraries/leader/start_window.h"

#include <criterion/criterion.h>

#include "libraries/log/json_log_sink.h"

namespace papayalift {

namespace {

constexpr Milliseconds kLate{600};
constexpr Milliseconds kOnTime{0};
constexpr Milliseconds kPassInterval{100};

struct WindowFixture {
  WindowFixture() { DisableLogging(); }

  /// Passes that find as many starts out as the window allows, and hold others back.
  void RunPasses(int passes, Milliseconds lateness) {
    for (int pass = 0; pass < passes; ++pass) {
      now += kPassInterval;
      window.RecordHeldBack(1);
      window.Update(window.size(), lateness, now);
    }
  }

  StartWindow window;
  Milliseconds now{0};
};

}  // namespace

Test(start_window, punctual_leader_is_soon_not_limited) {
  WindowFixture fixture;
  fixture.RunPasses(8, kOnTime);
  cr_expect_geq(fixture.window.AllowanceFor(0).tasks, 1'000);
  cr_expect(!fixture.window.AllowanceFor(0).is_limited());
}

Test(start_window, leader_that_stays_behind_starts_ever_less_but_never_nothing) {
  WindowFixture fixture;
  fixture.RunPasses(8, kOnTime);
  fixture.RunPasses(200, kLate);
  cr_expect_leq(fixture.window.size(), 32);
  cr_expect_gt(fixture.window.AllowanceFor(0).tasks, 0);
  cr_expect(fixture.window.AllowanceFor(0).is_limited());
}

Test(start_window, leader_that_has_caught_up_starts_freely_again) {
  WindowFixture fixture;
  fixture.RunPasses(200, kLate);
  fixture.RunPasses(1, kOnTime);
  cr_expect(!fixture.window.AllowanceFor(0).is_limited());
  fixture.RunPasses(300, kOnTime);
  cr_expect_geq(fixture.window.AllowanceFor(0).tasks, 1'000);
}

// A window that doubled again put the leader behind by more than a second each time.
Test(start_window, window_grows_slowly_beyond_the_size_that_was_too_large) {
  WindowFixture fixture;
  fixture.RunPasses(100, kLate);
  const std::int64_t safe = fixture.window.size();
  fixture.RunPasses(3, kOnTime);
  cr_expect_gt(fixture.window.size(), safe);
  cr_expect_lt(fixture.window.size(), 2 * safe);
}

Test(start_window, starts_that_fill_the_window_leave_room_for_guaranteed_ones_only) {
  WindowFixture fixture;
  const std::int64_t out = fixture.window.size() * 10;
  cr_expect_eq(fixture.window.AllowanceFor(out).tasks, 0);
  cr_expect_gt(fixture.window.AllowanceFor(out).guaranteed_tasks, 0);
}

// The window grew only with starts that were out at the next pass, and a fast start is not.
Test(start_window, window_that_held_tasks_back_grows_though_nothing_is_out) {
  WindowFixture fixture;
  const std::int64_t before = fixture.window.size();
  fixture.window.RecordHeldBack(100);
  fixture.window.Update(0, kOnTime, fixture.now);
  cr_expect_gt(fixture.window.size(), before);
}

// One long callback is one reason to start less, not one in each pass that follows it at once.
Test(start_window, one_long_standstill_halves_the_window_once) {
  WindowFixture fixture;
  fixture.RunPasses(4, kOnTime);
  const std::int64_t before = fixture.window.size();
  for (int pass = 0; pass < 5; ++pass) {
    fixture.now += Milliseconds(10);
    fixture.window.Update(before, kLate, fixture.now);
  }
  cr_expect_eq(fixture.window.size(), before / 2);
}

}  // namespace papayalift
