#include "libraries/lab/lab_state.h"

#include "libraries/lab/deployment.h"
#include "libraries/lab/workload.h"

namespace papayalift {

LabState::LabState(const Scenario& played, std::uint64_t seed)
    : scenario(played),
      bundle(BundleOf(played)),
      jobs(GenerateJobs(played, seed)),
      runs(jobs.size()),
      fleet(bundle),
      demand(played.workspaces.size()) {
  std::map<WorkspaceId, std::size_t> positions;
  for (std::size_t position = 0; position < played.workspaces.size(); ++position) {
    positions[played.workspaces[position].spec.id] = position;
  }
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    runs[index].workspace = positions[jobs[index].spec.workspace];
  }
}

}  // namespace papayalift
