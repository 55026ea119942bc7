/// How many accelerators each workspace holds, and how many it may hold.
#pragma once

#include <map>
#include <optional>

#include "libraries/decisions/decision.h"
#include "libraries/decisions/policy.h"
#include "libraries/decisions/snapshot.h"

namespace papayalift {

class QuotaTracker {
 public:
  QuotaTracker(const Snapshot& snapshot, BorrowRule rule);

  /// The decision to wait if the workspace's limit does not allow the job or the bundle does not
  /// declare the workspace; nullopt otherwise.
  std::optional<WaitDecision> CheckQuota(const WaitingJob& job) const;

  /// Accelerators by which the workspace would exceed its limit with the job; 0 if it would not.
  AcceleratorCount ExcessWith(const WaitingJob& job) const;

  void Charge(const WaitingJob& job);

 private:
  struct Usage {
    AcceleratorCount used;
    AcceleratorCount limit;
  };

  std::map<WorkspaceId, Usage> m_usage;
};

}  // namespace papayalift
