/// Seeded random numbers. Each purpose has its own source, so that draws for one purpose do not
/// change those for another.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace papayalift {

class RandomSource {
 public:
  /// The same seed and purpose always produce the same sequence.
  RandomSource(std::uint64_t seed, const std::string& purpose);

  /// Uniform from 0 to `count` - 1.
  std::size_t UniformIndex(std::size_t count);
  /// True with probability `share`.
  bool Bernoulli(double share);
  double Exponential(double mean);
  /// Standard normal.
  double Normal();
  /// Uniform in [0, 1).
  double Uniform();

 private:
  std::mt19937_64 m_engine;
};

}  // namespace papayalift
