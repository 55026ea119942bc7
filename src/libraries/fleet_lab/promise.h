/// The promises that must always hold, and a tally of the checks and violations of each.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace papayalift {

enum class Promise {
  kGuaranteeReclaimed,
  kGangWhole,
  kZoneOutHeld,
  kAnswerWholeAndOwn,
  kNotRunDidNotRun,
  kAtMostOnce,
  kLeavingTargetSpared,
  kStopGraceful,
  kBundleInForce,
};

inline constexpr std::array<Promise, 9> kPromises{
    Promise::kGuaranteeReclaimed,  Promise::kGangWhole,       Promise::kZoneOutHeld,
    Promise::kAnswerWholeAndOwn,   Promise::kNotRunDidNotRun, Promise::kAtMostOnce,
    Promise::kLeavingTargetSpared, Promise::kStopGraceful,    Promise::kBundleInForce,
};

std::string PromiseText(Promise promise);

struct PromiseTally {
  Promise promise = Promise::kGuaranteeReclaimed;
  std::int64_t checked = 0;
  std::int64_t broken = 0;
  /// Descriptions of the first violations.
  std::vector<std::string> traces;

  void RecordKept() { ++checked; }
  void RecordBroken(std::string trace);
};

}  // namespace papayalift
