/// Meters of what a piece of code costs.
#pragma once

#include <functional>

namespace papayalift {

/// Processor time of the calling thread for one round of `work`, in microseconds: the least of
/// several batches of `rounds`.
double MinMicroseconds(int rounds, const std::function<void()>& work);

/// The same for work that can be done only once.
double SingleRunMicroseconds(const std::function<void()>& work);

/// Heap bytes in use by the whole process.
double HeapBytes();

/// Resident memory of the whole process, in bytes.
double ResidentBytes();

}  // namespace papayalift
