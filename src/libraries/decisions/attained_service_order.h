/// Attained service in a few levels: what has had little goes first, and waiting lifts.
#pragma once

#include "libraries/decisions/queue_order.h"

namespace papayalift {

/// Urgent jobs first; then by level, in each level in the order of submission.
class AttainedServiceOrder final : public QueueOrder {
 public:
  std::vector<const WaitingJob*> Sort(const std::vector<WaitingJob>& waiting) const override;
};

}  // namespace papayalift
