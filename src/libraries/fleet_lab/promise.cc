#include "libraries/fleet_lab/promise.h"

#include <utility>

#include "libraries/base/enum_names.h"

namespace papayalift {

namespace {

constexpr std::size_t kMaxTraces = 10;

constexpr std::array<EnumName<Promise>, 9> kPromiseNames{{
    {Promise::kGuaranteeReclaimed, "guarantee reclaimed"},
    {Promise::kGangWhole, "gang whole or not at all"},
    {Promise::kZoneOutHeld, "no start in a zone that is out"},
    {Promise::kAnswerWholeAndOwn, "answer whole and own"},
    {Promise::kNotRunDidNotRun, "not run did not run"},
    {Promise::kAtMostOnce, "non-idempotent at most once"},
    {Promise::kLeavingTargetSpared, "leaving target gets nothing new"},
    {Promise::kStopGraceful, "planned stop cuts nothing"},
    {Promise::kBundleInForce, "bundle in force and never reverted"},
}};

}  // namespace

std::string PromiseText(Promise promise) { return EnumText(kPromiseNames, promise); }

void PromiseTally::RecordBroken(std::string trace) {
  ++checked;
  ++broken;
  if (traces.size() < kMaxTraces) {
    traces.push_back(std::move(trace));
  }
}

}  // namespace papayalift
