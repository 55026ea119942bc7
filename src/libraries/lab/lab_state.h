/// State of a run at the current virtual time.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "libraries/lab/fake_fleet.h"
#include "libraries/lab/job_run.h"
#include "libraries/lab/lab_job.h"
#include "libraries/lab/scenario.h"

namespace papayalift {

struct LabState {
  LabState(const Scenario& run_scenario, std::uint64_t seed);

  const Scenario& scenario;
  Bundle bundle;
  std::vector<LabJob> jobs;
  /// Parallel to `jobs`.
  std::vector<JobRun> runs;
  /// Job indexes, in the order of submission.
  std::set<std::size_t> waiting;
  std::set<std::size_t> holding;
  FakeFleet fleet;
  ZoneTable zones;
  std::map<ZoneId, Milliseconds> zone_changed_at;
  /// Accelerators requested by unfinished jobs, by workspace index.
  std::vector<AcceleratorCount> demand;
  Milliseconds now{0};
};

}  // namespace papayalift
