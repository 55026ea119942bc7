/// How many accelerators each workspace holds, against the most that it may hold.
#pragma once

#include <map>
#include <optional>

#include "libraries/decisions/decision.h"
#include "libraries/decisions/policy.h"
#include "libraries/decisions/snapshot.h"

namespace papayalift {

class QuotaBook {
 public:
  QuotaBook(const Snapshot& snapshot, BorrowRule rule);

  /// Why the job can't start even if there is room; nothing where it can.
  std::optional<WaitDecision> WhyNot(const WaitingJob& job) const;

  void Count(const WaitingJob& job);

 private:
  struct Share {
    AcceleratorCount used;
    AcceleratorCount most;
  };

  std::map<WorkspaceId, Share> m_shares;
};

}  // namespace papayalift
