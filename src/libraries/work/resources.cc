#include "libraries/work/resources.h"

#include <algorithm>

namespace papayalift {

Resources& Resources::operator+=(const Resources& other) {
  cpu_milli += other.cpu_milli;
  memory_mb += other.memory_mb;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_milli -= other.cpu_milli;
  memory_mb -= other.memory_mb;
  accelerators -= other.accelerators;
  return *this;
}

Resources Resources::operator+(const Resources& other) const {
  Resources sum = *this;
  return sum += other;
}

Resources Resources::operator-(const Resources& other) const {
  Resources difference = *this;
  return difference -= other;
}

Resources Resources::operator*(std::int64_t times) const {
  return Resources{cpu_milli * times, memory_mb * times, accelerators * times};
}

bool Resources::Fits(const Resources& available) const {
  return cpu_milli <= available.cpu_milli && memory_mb <= available.memory_mb &&
         accelerators <= available.accelerators;
}

std::int64_t Resources::MaxCountIn(const Resources& available, std::int64_t limit) const {
  if (!Fits(available)) {
    return 0;
  }
  std::int64_t times = limit;
  if (cpu_milli > 0) {
    times = std::min(times, available.cpu_milli / cpu_milli);
  }
  if (memory_mb > 0) {
    times = std::min(times, available.memory_mb / memory_mb);
  }
  if (accelerators > 0) {
    times = std::min(times, available.accelerators / accelerators);
  }
  return times;
}

double WeightedCores(const Resources& resources) {
  constexpr double kMilliPerCore = 1'000;
  constexpr double kCoresPerAccelerator = 8;
  return static_cast<double>(resources.cpu_milli) / kMilliPerCore +
         kCoresPerAccelerator * static_cast<double>(resources.accelerators);
}

}  // namespace papayalift
