#include "libraries/decisions/run_time_estimate.h"

#include <algorithm>

namespace papayalift {

namespace {

/// Most declared run times that are too short are short by less than this factor.
constexpr int kUnderestimateFactor = 3;

}  // namespace

Milliseconds DeclaredRunTime::RemainingTimeOf(const GangView& gang) const {
  return std::max(Milliseconds{0}, gang.declared_run_time - gang.attained_time);
}

Milliseconds DeclaredRunTime::RunTimeOf(const WaitingJob& job) const {
  return std::max(Milliseconds{0}, job.declared_run_time - job.attained_time);
}

Milliseconds ConservativeRunTime::RemainingTimeOf(const GangView& gang) const {
  return std::max(gang.attained_time, gang.declared_run_time - gang.attained_time);
}

Milliseconds ConservativeRunTime::RunTimeOf(const WaitingJob& job) const {
  return std::max(job.attained_time,
                  kUnderestimateFactor * job.declared_run_time - job.attained_time);
}

}  // namespace papayalift
