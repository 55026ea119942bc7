/// The result of a scheduling pass: which gangs start, stop or wait, each with its reason.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/model/placement_record.h"

namespace papayalift {

struct StartDecision {
  JobId job;
  ZoneId zone;
  Claim claim = Claim::kBorrowed;
  std::vector<TaskPlacement> tasks;
  std::string reason;
};

enum class StopCause { kZoneOut, kReclaim, kDefragmentation };

/// The gang is checkpointed and stopped after a grace period; its job is queued again.
struct StopDecision {
  JobId job;
  StopCause cause = StopCause::kZoneOut;
  std::string reason;
  /// For kReclaim the job that gets the accelerators, else empty.
  JobId for_job;
};

enum class WaitCause {
  kCapacity,
  kQuota,
  kGuarantees,
  kBehindEarlierJob,
  kReclaiming,
  kInfeasible
};

struct WaitDecision {
  JobId job;
  WaitCause cause = WaitCause::kCapacity;
  std::string reason;
};

struct Decision {
  std::vector<StartDecision> starts;
  std::vector<StopDecision> stops;
  std::vector<WaitDecision> waits;
};

}  // namespace papayalift
