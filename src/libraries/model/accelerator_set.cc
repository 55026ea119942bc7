#include "libraries/model/accelerator_set.h"

#include <algorithm>
#include <bit>

namespace papayalift {

namespace {

/// Calls `visit(start, length)` for each run of adjacent positions.
template <typename Visit>
void VisitRuns(std::uint64_t bits, const Visit& visit) {
  int position = 0;
  while (bits != 0) {
    const int gap = std::countr_zero(bits);
    bits >>= gap;
    position += gap;
    const int length = std::countr_one(bits);
    visit(position, length);
    position += length;
    bits = length == AcceleratorSet::kMaxWorkerAccelerators ? 0 : bits >> length;
  }
}

}  // namespace

AcceleratorSet AcceleratorSet::First(AcceleratorCount count) { return RunAt(0, count); }

AcceleratorSet AcceleratorSet::RunAt(int start, AcceleratorCount count) {
  if (count.value() >= kMaxWorkerAccelerators) {
    return AcceleratorSet(~std::uint64_t{0});
  }
  return AcceleratorSet(((std::uint64_t{1} << count.value()) - 1) << start);
}

AcceleratorCount AcceleratorSet::Count() const { return AcceleratorCount(std::popcount(m_bits)); }

std::optional<AcceleratorSet> AcceleratorSet::FindBestFit(AcceleratorCount count) const {
  int best_start = -1;
  int best_length = kMaxWorkerAccelerators + 1;
  VisitRuns(m_bits, [&](int start, int length) {
    if (length >= count.value() && length < best_length) {
      best_start = start;
      best_length = length;
    }
  });
  if (best_start < 0) {
    return std::nullopt;
  }
  return RunAt(best_start, count);
}

AcceleratorCount AcceleratorSet::LongestRun() const {
  int longest = 0;
  VisitRuns(m_bits, [&longest](int /*start*/, int length) { longest = std::max(longest, length); });
  return AcceleratorCount(longest);
}

}  // namespace papayalift
