#include "libraries/base/boot_clock.h"

#include <ctime>

namespace papayalift {

namespace {

Milliseconds ReadClock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
  constexpr std::int64_t kMillisecondsPerSecond = 1'000;
  return Milliseconds(time.tv_sec * kMillisecondsPerSecond +
                      time.tv_nsec / kNanosecondsPerMillisecond);
}

}  // namespace

// NOTE: CLOCK_MONOTONIC stops while the VM is suspended, but leases have to go on expiring.
Milliseconds BootClock::Now() const { return ReadClock(CLOCK_BOOTTIME); }

Milliseconds BootClock::WallNow() const { return ReadClock(CLOCK_REALTIME); }

}  // namespace papayalift
