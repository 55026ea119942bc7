/// The state of a run at one moment of the virtual clock.
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
  /// Beside `jobs`, by position.
  std::vector<JobRun> runs;
  /// Positions, in the order of submission.
  std::set<std::size_t> waiting;
  std::set<std::size_t> holding;
  FakeFleet fleet;
  ZoneTable zones;
  std::map<ZoneId, Milliseconds> zone_changed_at;
  /// Accelerators that unfinished jobs ask for, by position of the workspace.
  std::vector<AcceleratorCount> demand;
  Milliseconds now{0};
};

}  // namespace papayalift
