#include "libraries/work/resources.h"

#include <algorithm>
#include <limits>

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

Resources QuotaLeft(const Resources& quota, const Resources& used) {
  constexpr std::int64_t kUnlimited = std::numeric_limits<std::int64_t>::max();
  const auto left = [&](std::int64_t Resources::*member) {
    return quota.*member == 0 ? kUnlimited
                              : std::max<std::int64_t>(0, quota.*member - used.*member);
  };
  return Resources{left(&Resources::cpu_milli), left(&Resources::memory_mb),
                   left(&Resources::accelerators)};
}

double WeightedCores(const Resources& resources) {
  constexpr double kMilliPerCore = 1'000;
  constexpr double kCoresPerAccelerator = 8;
  return static_cast<double>(resources.cpu_milli) / kMilliPerCore +
         kCoresPerAccelerator * static_cast<double>(resources.accelerators);
}

}  // namespace papayalift
