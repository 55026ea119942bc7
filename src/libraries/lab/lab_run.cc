#include "libraries/lab/lab_run.h"

#include "libraries/base/try.h"
#include "libraries/decisions/decide.h"
#include "libraries/lab/simulation.h"

namespace papayalift {

absl::StatusOr<RunReport> RunPolicy(const Scenario& scenario, const std::string& policy_name,
                                    std::uint64_t seed) {
  const Policy policy = TRY(FindPolicy(policy_name));
  Simulation simulation(scenario, seed,
                        [&policy](const Snapshot& snapshot) { return Decide(snapshot, policy); });
  RunReport report = simulation.Run();
  report.policy = policy_name;
  report.seed = seed;
  return report;
}

}  // namespace papayalift
