/// Strategy: how long gangs and waiting jobs are expected to run.
#pragma once

#include "libraries/decisions/snapshot.h"

namespace papayalift {

class RunTimeEstimate {
 public:
  virtual ~RunTimeEstimate() = default;

  virtual Milliseconds RemainingTimeOf(const GangView& gang) const = 0;
  /// Run time that is left after the job's earlier attempts.
  virtual Milliseconds RunTimeOf(const WaitingJob& job) const = 0;
};

/// Assumes that declared run times are accurate.
class DeclaredRunTime final : public RunTimeEstimate {
 public:
  Milliseconds RemainingTimeOf(const GangView& gang) const override;
  Milliseconds RunTimeOf(const WaitingJob& job) const override;
};

/// Assumes that declared run times may be too short: a gang is expected to run for at least as long
/// again as it has run, and a waiting job for a multiple of its declared run time.
class ConservativeRunTime final : public RunTimeEstimate {
 public:
  Milliseconds RemainingTimeOf(const GangView& gang) const override;
  Milliseconds RunTimeOf(const WaitingJob& job) const override;
};

}  // namespace papayalift
