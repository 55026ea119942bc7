#include <fmt/format.h>

#include "libraries/decisions/first_fit.h"
#include "libraries/decisions/policy.h"

namespace papayalift {

namespace {

std::vector<Policy> BuildPolicies() {
  const std::shared_ptr<const QueueOrder> submission = std::make_shared<SubmissionOrder>();
  const std::shared_ptr<const Placer> first_fit = std::make_shared<FirstFit>();
  const std::shared_ptr<const RunTimeEstimate> declared = std::make_shared<DeclaredRunTime>();
  return {
      {"papaya", submission, first_fit, declared, QueueRule::kSkip, BorrowRule::kUpToQuota},
      {"fifo", submission, first_fit, declared, QueueRule::kStopAtFirst, BorrowRule::kUpToQuota},
      {"backfill", submission, first_fit, declared, QueueRule::kReserveForFirst,
       BorrowRule::kUpToQuota},
      {"static", submission, first_fit, declared, QueueRule::kSkip, BorrowRule::kNothing},
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
      fmt::format("there is no policy '{}'; there are: {}", name, fmt::join(PolicyNames(), ", ")));
}

std::vector<std::string> PolicyNames() {
  std::vector<std::string> names;
  for (const Policy& policy : Policies()) {
    names.push_back(policy.name);
  }
  return names;
}

}  // namespace papayalift
