/// The faults that one stand-in applies now, drawn from a seed.
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
  /// Replaces all rules, and ends every wait under the old ones.
  void Replace(std::vector<FaultRule> rules, std::uint64_t seed);

  /// The first rule that hits a request to `path`; uses up one of its count.
  std::optional<FaultRule> Draw(const std::string& path);

  /// Waits for `limit` or until the rules are replaced.
  void Wait(Milliseconds limit);

  /// Waits until a later request has passed, for `limit`, or until the rules are replaced.
  void WaitForLaterRequest(Milliseconds limit);

  /// A request has had its effect.
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
