/// Seeded random numbers; one source for each purpose, so that one does not disturb another.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace papayalift {

class RandomSource {
 public:
  /// The same seed and purpose always give the same numbers.
  RandomSource(std::uint64_t seed, const std::string& purpose);

  /// From 0 to `count` - 1.
  std::size_t UniformIndex(std::size_t count);
  /// True with the probability `share`.
  bool Bernoulli(double share);
  double Exponential(double mean);
  double Normal();
  /// From 0 up to, not including, 1.
  double Uniform();

 private:
  std::mt19937_64 m_engine;
};

}  // namespace papayalift
