/// The active fault rules of one stand-in; random choices are reproducible by seed.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "stand_ins/control/fault_rule.h"

namespace papayalift {

/// Thread-safe.
class FaultRules {
 public:
  /// Replaces all rules and wakes all requests that wait under the old ones.
  void Replace(std::vector<FaultRule> rules, std::uint64_t seed);

  /// Returns the first rule that applies to a request to `path` and decrements its count.
  std::optional<FaultRule> Draw(const std::string& path);

  /// Waits until `limit` has passed or the rules are replaced.
  void Wait(Milliseconds limit);

  /// Waits until a later request has taken effect, `limit` has passed, or the rules are replaced.
  void WaitForLaterRequest(Milliseconds limit);

  /// Signals that a request has taken effect.
  void RequestPassed();

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<FaultRule> m_rules;
  std::mt19937_64 m_random;
  std::uint64_t m_generation = 0;
  std::uint64_t m_passed = 0;
};

}  // namespace papayalift
