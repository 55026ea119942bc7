/// Strategy: how long a gang is expected to go on running.
#pragma once

#include "libraries/decisions/snapshot.h"

namespace papayalift {

class RunTimeEstimate {
 public:
  virtual ~RunTimeEstimate() = default;

  virtual Milliseconds RemainingTimeOf(const GangView& gang) const = 0;
  virtual Milliseconds RunTimeOf(const WaitingJob& job) const = 0;
};

/// Takes declared run times at their word.
class DeclaredRunTime final : public RunTimeEstimate {
 public:
  Milliseconds RemainingTimeOf(const GangView& gang) const override;
  Milliseconds RunTimeOf(const WaitingJob& job) const override;
};

/// Takes a declared run time as a hint: what has run long is expected to run as long again, and
/// what waits to run a multiple of what was declared.
class ConservativeRunTime final : public RunTimeEstimate {
 public:
  Milliseconds RemainingTimeOf(const GangView& gang) const override;
  Milliseconds RunTimeOf(const WaitingJob& job) const override;
};

}  // namespace papayalift
