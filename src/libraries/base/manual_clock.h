/// A clock that advances only through Advance(), for tests and the lab.
#pragma once

#include <atomic>

#include "libraries/base/clock.h"

namespace papayalift {

class ManualClock final : public Clock {
 public:
  Milliseconds Now() const override { return Milliseconds(m_now.load()); }
  Milliseconds WallNow() const override { return Now(); }

  void Advance(Milliseconds step) { m_now += step.count(); }

 private:
  std::atomic<std::int64_t> m_now{1};
};

}  // namespace papayalift
