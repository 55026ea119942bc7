#include "libraries/decisions/run_time_estimate.h"

#include <algorithm>

namespace papayalift {

namespace {

/// Many more declarations are short of the truth by less than this factor than by more.
constexpr int kDoubtFactor = 3;

}  // namespace

Milliseconds DeclaredRunTime::RemainingOf(const GangView& gang) const {
  return std::max(Milliseconds{0}, gang.declared_run_time - gang.attained);
}

Milliseconds DeclaredRunTime::WholeOf(const WaitingJob& job) const {
  return std::max(Milliseconds{0}, job.declared_run_time - job.attained);
}

Milliseconds DoubtedRunTime::RemainingOf(const GangView& gang) const {
  return std::max(gang.attained, gang.declared_run_time - gang.attained);
}

Milliseconds DoubtedRunTime::WholeOf(const WaitingJob& job) const {
  return std::max(job.attained, kDoubtFactor * job.declared_run_time - job.attained);
}

}  // namespace papayalift
