/// A policy: the strategy objects that a bundle chooses by name.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/decisions/placer.h"
#include "libraries/decisions/queue_order.h"
#include "libraries/decisions/run_time_estimate.h"

namespace papayalift {

/// What a pass does once the first waiting job does not fit.
enum class QueueRule {
  kStrictOrder,
  /// Reserves room for it; others start where by the estimate they don't delay it.
  kBackfill,
  /// The same; once it has waited too long, borrowed gangs that ran as long are stopped for it.
  kBackfillAndPreempt,
  kSkipUnplaceable,
};

/// What a workspace may hold beside its guarantees.
enum class BorrowRule {
  kUpToQuota,
  /// As many accelerators as it is guaranteed, and no more.
  kGuaranteedOnly,
};

/// What guarantees mean to a pass.
enum class GuaranteeRule {
  kNone,
  /// Jobs inside them start first, by stopping borrowed gangs if need be.
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
  /// For QueueRule::kReserveAndDrain only.
  Milliseconds starvation_limit{0};
};

/// kNotFound names the policies there are.
absl::StatusOr<Policy> FindPolicy(const std::string& name);

std::vector<std::string> PolicyNames();

}  // namespace papayalift
