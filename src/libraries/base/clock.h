/// Interface of the time source, which tests replace.
#pragma once

#include "libraries/base/units.h"

namespace papayalift {

class Clock {
 public:
  virtual ~Clock() = default;

  /// Time since an arbitrary start. Keeps advancing while the process or its VM is suspended.
  virtual Milliseconds Now() const = 0;

  /// Time since the Unix epoch, for display and records. Leases must use Now() instead.
  virtual Milliseconds WallNow() const = 0;
};

}  // namespace papayalift
