/// Strategy: the order in which a pass considers waiting jobs.
#pragma once

#include <vector>

#include "libraries/decisions/snapshot.h"

namespace papayalift {

class QueueOrder {
 public:
  virtual ~QueueOrder() = default;

  /// Pointers into `waiting`, the first to be considered first.
  virtual std::vector<const WaitingJob*> Sort(const std::vector<WaitingJob>& waiting) const = 0;
};

/// Urgent jobs first, each class in the order of submission.
class SubmissionOrder final : public QueueOrder {
 public:
  std::vector<const WaitingJob*> Sort(const std::vector<WaitingJob>& waiting) const override;
};

}  // namespace papayalift
