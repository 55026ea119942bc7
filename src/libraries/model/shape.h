/// The resource request of a gang: a number of tasks, each on adjacent accelerators of one worker,
/// all in one availability zone.
#pragma once

#include <compare>

#include "libraries/base/units.h"

namespace papayalift {

struct Shape {
  TaskCount tasks{1};
  AcceleratorCount accelerators_per_task{1};

  AcceleratorCount Total() const {
    return AcceleratorCount(tasks.value() * accelerators_per_task.value());
  }

  auto operator<=>(const Shape&) const = default;
};

}  // namespace papayalift
