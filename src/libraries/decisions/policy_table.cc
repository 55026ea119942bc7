#include <fmt/format.h>

#include "libraries/decisions/attained_service_order.h"
#include "libraries/decisions/best_fit.h"
#include "libraries/decisions/first_fit.h"
#include "libraries/decisions/policy.h"

namespace papayalift {

namespace {

/// Gangs that have run this long may be stopped for a job that has waited this long.
constexpr Milliseconds kStarvationLimit = std::chrono::hours(2);

Policy Baseline(const std::string& name, QueueRule queue_rule, BorrowRule borrow_rule) {
  Policy policy;
  policy.name = name;
  policy.order = std::make_shared<SubmissionOrder>();
  policy.placer = std::make_shared<FirstFit>();
  policy.estimate = std::make_shared<DeclaredRunTime>();
  policy.queue_rule = queue_rule;
  policy.borrow_rule = borrow_rule;
  return policy;
}

Policy Papaya() {
  Policy policy;
  policy.name = "papaya";
  policy.order = std::make_shared<AttainedServiceOrder>();
  policy.placer = std::make_shared<BestFit>();
  policy.estimate = std::make_shared<ConservativeRunTime>();
  policy.queue_rule = QueueRule::kBackfillAndPreempt;
  policy.guarantee_rule = GuaranteeRule::kReclaim;
  policy.starvation_limit = kStarvationLimit;
  return policy;
}

std::vector<Policy> BuildPolicies() {
  return {
      Papaya(),
      Baseline("fifo", QueueRule::kStrictOrder, BorrowRule::kUpToQuota),
      Baseline("backfill", QueueRule::kBackfill, BorrowRule::kUpToQuota),
      Baseline("static", QueueRule::kSkipUnplaceable, BorrowRule::kGuaranteedOnly),
  };
}

const std::vector<Policy>& Policies() {
  static const std::vector<Policy> kPolicies = BuildPolicies();
  return kPolicies;
}

}  // namespace

absl::StatusOr<Policy> FindPolicy(const std::string& name) {
  for (const Policy& policy : Policies()) {
    if (policy.name == name) {
      return policy;
    }
  }
  return absl::NotFoundError(
      fmt::format("unknown policy '{}'; known: {}", name, fmt::join(PolicyNames(), ", ")));
}

std::vector<std::string> PolicyNames() {
  std::vector<std::string> names;
  for (const Policy& policy : Policies()) {
    names.push_back(policy.name);
  }
  return names;
}

}  // namespace papayalift
