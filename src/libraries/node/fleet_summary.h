/// Counts that operators look at: capacity by zone, rack and workspace, jobs by state.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "libraries/model/accelerator_set.h"
#include "libraries/model/job_record.h"
#include "libraries/model/zone_table.h"
#include "libraries/node/fleet_view.h"

namespace papayalift {

struct WorkerSummary {
  WorkerId id;
  AcceleratorSet all;
  AcceleratorSet free;
};

struct RackSummary {
  RackId rack;
  ZoneId zone;
  std::vector<WorkerSummary> workers;
};

struct ZoneSummary {
  ZoneId zone;
  ZoneState state = ZoneState::kIn;
  AcceleratorCount accelerators;
  AcceleratorCount free;
};

struct WorkspaceSummary {
  WorkspaceId workspace;
  AcceleratorCount quota;
  /// Of all its guarantees together.
  AcceleratorCount guaranteed;
  /// Held by gangs that count against the guarantees.
  AcceleratorCount used;
  /// Held by gangs that may be reclaimed.
  AcceleratorCount borrowed;
  /// Guaranteed and not used, while jobs of the workspace wait.
  AcceleratorCount owed;
  int waiting_jobs = 0;
};

struct FleetSummary {
  std::vector<ZoneSummary> zones;
  std::vector<RackSummary> racks;
  std::vector<WorkspaceSummary> workspaces;
  std::map<JobState, int> jobs;
  /// Share of the free accelerators in service that the largest declared shape can't use, 0 to 1.
  double fragmentation = 0;
};

/// Empty but for the jobs before a bundle is in force.
FleetSummary Summarize(const FleetView& view);

}  // namespace papayalift
