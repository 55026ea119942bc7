#include "libraries/lab/lab_state.h"

#include "libraries/lab/deployment.h"
#include "libraries/lab/workload.h"

namespace papayalift {

LabState::LabState(const Scenario& run_scenario, std::uint64_t seed)
    : scenario(run_scenario),
      bundle(BundleOf(run_scenario)),
      jobs(GenerateJobs(run_scenario, seed)),
      runs(jobs.size()),
      fleet(bundle),
      demand(run_scenario.workspaces.size()) {
  std::map<WorkspaceId, std::size_t> positions;
  for (std::size_t position = 0; position < run_scenario.workspaces.size(); ++position) {
    positions[run_scenario.workspaces[position].spec.id] = position;
  }
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    runs[index].workspace = positions[jobs[index].spec.workspace];
  }
}

}  // namespace papayalift
