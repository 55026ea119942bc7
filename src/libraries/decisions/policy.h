/// Scheduling policies: sets of strategies that a bundle selects by name.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/decisions/placer.h"
#include "libraries/decisions/queue_order.h"
#include "libraries/decisions/run_time_estimate.h"

namespace papayalift {

/// What a pass does once a waiting job does not fit.
enum class QueueRule {
  kStrictOrder,
  /// Reserves capacity for the first such job; others start only where, by the run time estimate,
  /// they don't delay it.
  kBackfill,
  /// As kBackfill; once that job has waited for Policy::starvation_limit, borrowed gangs that have
  /// run at least as long are stopped for it.
  kBackfillAndPreempt,
  kSkipUnplaceable,
};

/// What a workspace may hold beyond its guarantees.
enum class BorrowRule {
  kUpToQuota,
  /// At most as many accelerators as its guarantees add up to.
  kGuaranteedOnly,
};

/// How a pass treats guarantees.
enum class GuaranteeRule {
  kNone,
  /// Jobs within a guarantee start first, if necessary by stopping borrowed gangs.
  kReclaim,
};

struct Policy {
  std::string name;
  std::shared_ptr<const QueueOrder> order;
  std::shared_ptr<const Placer> placer;
  std::shared_ptr<const RunTimeEstimate> estimate;
  QueueRule queue_rule = QueueRule::kSkipUnplaceable;
  BorrowRule borrow_rule = BorrowRule::kUpToQuota;
  GuaranteeRule guarantee_rule = GuaranteeRule::kNone;
  /// Only for QueueRule::kBackfillAndPreempt.
  Milliseconds starvation_limit{0};
};

/// The message of kNotFound lists the known policies.
absl::StatusOr<Policy> FindPolicy(const std::string& name);

std::vector<std::string> PolicyNames();

}  // namespace papayalift
