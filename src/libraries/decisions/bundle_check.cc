#include "libraries/decisions/bundle_check.h"

#include <fmt/format.h>

#include <string>
#include <vector>

#include "libraries/decisions/guarantee_check.h"
#include "libraries/decisions/policy.h"

namespace papayalift {

absl::Status CheckBundle(const Bundle& bundle) {
  std::vector<std::string> problems;
  const absl::StatusOr<Policy> policy = FindPolicy(bundle.policy.name);
  if (!policy.ok()) {
    problems.push_back(std::string(policy.status().message()));
  }
  for (const GuaranteeShortfall& shortfall : CheckGuarantees(bundle)) {
    problems.push_back(Describe(shortfall));
  }
  if (problems.empty()) {
    return absl::OkStatus();
  }
  return absl::FailedPreconditionError(fmt::format("{}", fmt::join(problems, "\n")));
}

}  // namespace papayalift
