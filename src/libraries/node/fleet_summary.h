/// Summary for operators: capacity by zone, rack and workspace, and jobs by state.
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
  /// Sum of all its guarantees.
  AcceleratorCount guaranteed;
  /// Held by gangs placed under its guarantees.
  AcceleratorCount used;
  /// Held by gangs on borrowed capacity, which may be reclaimed.
  AcceleratorCount borrowed;
  /// Guaranteed but unused capacity while jobs of the workspace wait; otherwise 0.
  AcceleratorCount owed;
  int waiting_jobs = 0;
};

struct FleetSummary {
  std::vector<ZoneSummary> zones;
  std::vector<RackSummary> racks;
  std::vector<WorkspaceSummary> workspaces;
  std::map<JobState, int> jobs;
  /// Share of the free accelerators in service that the largest guaranteed shape can't use, 0 to 1.
  double fragmentation = 0;
};

/// Before a bundle is in force, only the jobs are filled in.
FleetSummary Summarize(const FleetView& view);

}  // namespace papayalift
