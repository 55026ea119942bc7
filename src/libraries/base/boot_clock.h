/// The system clock of a running process.
#pragma once

#include "libraries/base/clock.h"

namespace papayalift {

class BootClock final : public Clock {
 public:
  Milliseconds Now() const override;
  Milliseconds WallNow() const override;
};

}  // namespace papayalift
