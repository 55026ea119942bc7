/// Conversion of an accelerator count and a duration to accelerator-hours.
#pragma once

#include "libraries/base/units.h"

namespace papayalift {

constexpr double AcceleratorHours(AcceleratorCount accelerators, Milliseconds time) {
  return accelerators.value() * std::chrono::duration<double, std::ratio<3600>>(time).count();
}

}  // namespace papayalift
