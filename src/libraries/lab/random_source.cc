#include "libraries/lab/random_source.h"

#include "libraries/base/hash.h"

namespace papayalift {

RandomSource::RandomSource(std::uint64_t seed, const std::string& purpose)
    : m_engine(Hash64(purpose + "/" + std::to_string(seed))) {}

std::size_t RandomSource::UniformIndex(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_engine);
}

bool RandomSource::Bernoulli(double share) { return Uniform() < share; }

double RandomSource::Exponential(double mean) {
  return std::exponential_distribution<double>(1.0 / mean)(m_engine);
}

double RandomSource::Normal() { return std::normal_distribution<double>()(m_engine); }

double RandomSource::Uniform() { return std::uniform_real_distribution<double>()(m_engine); }

}  // namespace papayalift
