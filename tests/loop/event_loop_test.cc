#include "libraries/loop/event_loop.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"

namespace papayalift {

namespace {

/// An event loop and pipes that are ready to be read.
struct LoopFixture {
  ~LoopFixture() {
    for (const std::array<int, 2>& ends : pipes) {
      close(ends[0]);
      close(ends[1]);
    }
  }

  void AddReadyPipe(Urgency urgency, const std::string& name) {
    std::array<int, 2> ends{};
    cr_assert_eq(pipe(ends.data()), 0);
    pipes.push_back(ends);
    cr_assert_eq(write(ends[1], "x", 1), 1);
    const int reading_end = ends[0];
    cr_assert(loop->Watch(
                      reading_end, Readiness{.readable = true},
                      [this, reading_end, name](Readiness) {
                        loop->Unwatch(reading_end);
                        order.push_back(name);
                      },
                      urgency)
                  .ok());
  }

  BootClock clock;
  std::unique_ptr<EventLoop> loop = EventLoop::Create(clock).value();
  std::vector<std::array<int, 2>> pipes;
  std::vector<std::string> order;
};

}  // namespace

Test(event_loop, urgent_descriptor_among_hundreds_runs_ahead_of_them) {
  LoopFixture fixture;
  for (int number = 0; number < 200; ++number) {
    fixture.AddReadyPipe(Urgency::kNormal, "normal");
  }
  fixture.AddReadyPipe(Urgency::kUrgent, "urgent");
  fixture.loop->After(Milliseconds(0), [&fixture] { fixture.loop->Stop(); });
  fixture.loop->Run();
  cr_assert_eq(fixture.order.size(), 201);
  const auto urgent = std::find(fixture.order.begin(), fixture.order.end(), "urgent");
  cr_assert_leq(urgent - fixture.order.begin(), 8);
}

// A timeout counted answers as missing that had arrived, since only some of them had been read.
Test(event_loop, timer_that_is_due_runs_after_what_was_ready_before) {
  LoopFixture fixture;
  for (int number = 0; number < 200; ++number) {
    fixture.AddReadyPipe(Urgency::kNormal, "ready");
  }
  fixture.loop->After(Milliseconds(0), [&fixture] {
    fixture.order.emplace_back("timer");
    fixture.loop->Stop();
  });
  fixture.loop->Run();
  cr_assert_eq(fixture.order.size(), 201);
  cr_assert_eq(fixture.order.back(), "timer");
}

Test(event_loop, late_timer_is_reported_once) {
  LoopFixture fixture;
  fixture.loop->After(Milliseconds(0), [] { usleep(30'000); });
  fixture.loop->After(Milliseconds(10), [&fixture] { fixture.loop->Stop(); });
  fixture.loop->Run();
  cr_assert_geq(fixture.loop->TakeMaxTimerDelay().count(), 15);
  cr_assert_eq(fixture.loop->TakeMaxTimerDelay().count(), 0);
}

}  // namespace papayalift
