#include "capacity/cost_meter.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <limits>

namespace papayalift {

namespace {

double ThreadMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kMicrosecondsPerSecond = 1e6;
  constexpr double kNanosecondsPerMicrosecond = 1e3;
  return static_cast<double>(time.tv_sec) * kMicrosecondsPerSecond +
         static_cast<double>(time.tv_nsec) / kNanosecondsPerMicrosecond;
}

}  // namespace

double MinMicroseconds(int rounds, const std::function<void()>& work) {
  // Takes the minimum of several batches, because other load on the machine only adds time.
  constexpr int kBatches = 5;
  work();
  double least = std::numeric_limits<double>::max();
  for (int batch = 0; batch < kBatches; ++batch) {
    const double before = ThreadMicroseconds();
    for (int round = 0; round < rounds; ++round) {
      work();
    }
    least = std::min(least, (ThreadMicroseconds() - before) / rounds);
  }
  return least;
}

double SingleRunMicroseconds(const std::function<void()>& work) {
  const double before = ThreadMicroseconds();
  work();
  return ThreadMicroseconds() - before;
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  long pages = 0;
  long resident_pages = 0;
  statm >> pages >> resident_pages;
  return static_cast<double>(resident_pages) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace papayalift
