/// Measures CPU time and memory.
#pragma once

#include <functional>

namespace papayalift {

/// CPU time of the calling thread for one round of `work`, in microseconds. The minimum over
/// several batches of the mean of `rounds` rounds, after one warm-up round.
double MinMicroseconds(int rounds, const std::function<void()>& work);

/// CPU time of the calling thread for a single run of `work`, in microseconds, without warm-up.
double SingleRunMicroseconds(const std::function<void()>& work);

/// Heap bytes in use by the whole process.
double HeapBytes();

/// Resident memory of the whole process, in bytes.
double ResidentBytes();

}  // namespace papayalift
