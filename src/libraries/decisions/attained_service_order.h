/// Least attained service first: a multi-level queue with aging.
#pragma once

#include "libraries/decisions/queue_order.h"

namespace papayalift {

/// Urgent jobs first, then by level, then in the order of submission.
class AttainedServiceOrder final : public QueueOrder {
 public:
  std::vector<const WaitingJob*> Sort(const std::vector<WaitingJob>& waiting) const override;
};

}  // namespace papayalift
