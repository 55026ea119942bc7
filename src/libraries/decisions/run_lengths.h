/// Lengths of the runs of adjacent accelerators in a set.
#pragma once

#include <bit>
#include <cstdint>

#include "libraries/model/accelerator_set.h"

namespace papayalift {

/// Calls `visit(length)` for each run, the lowest first.
template <typename Visit>
void VisitRunLengths(AcceleratorSet accelerators, const Visit& visit) {
  std::uint64_t bits = accelerators.bits();
  while (bits != 0) {
    bits >>= std::countr_zero(bits);
    const int length = std::countr_one(bits);
    visit(length);
    bits = length == AcceleratorSet::kMaxWorkerAccelerators ? 0 : bits >> length;
  }
}

/// How many tasks of `size` adjacent accelerators fit.
inline int TasksThatFit(AcceleratorSet accelerators, AcceleratorCount size) {
  int tasks = 0;
  VisitRunLengths(accelerators, [&](int length) { tasks += length / size.value(); });
  return tasks;
}

}  // namespace papayalift
