#include "stand_ins/control/fault_rules.h"

#include <algorithm>
#include <utility>

namespace papayalift {

void FaultRules::Replace(std::vector<FaultRule> rules, std::uint64_t seed) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_rules = std::move(rules);
  m_random.seed(seed);
  ++m_generation;
  m_changed.notify_all();
}

std::optional<FaultRule> FaultRules::Draw(const std::string& path) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (auto rule = m_rules.begin(); rule != m_rules.end(); ++rule) {
    if (!path.starts_with(rule->path)) {
      continue;
    }
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    if (chance(m_random) >= rule->probability) {
      continue;
    }
    const FaultRule hit = *rule;
    if (hit.count > 0 && --rule->count == 0) {
      m_rules.erase(rule);
    }
    return hit;
  }
  return std::nullopt;
}

void FaultRules::Wait(Milliseconds limit) {
  std::unique_lock<std::mutex> lock(m_mutex);
  const std::uint64_t generation = m_generation;
  m_changed.wait_for(lock, limit, [&] { return m_generation != generation; });
}

void FaultRules::WaitForLaterRequest(Milliseconds limit) {
  std::unique_lock<std::mutex> lock(m_mutex);
  const std::uint64_t generation = m_generation;
  const std::uint64_t passed = m_passed;
  m_changed.wait_for(lock, limit, [&] { return m_generation != generation || m_passed != passed; });
}

void FaultRules::RequestPassed() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_passed;
  m_changed.notify_all();
}

}  // namespace papayalift
