/// Everything that a decision depends on, at one moment. Plain values: no clock, socket or thread.
#pragma once

#include <map>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/model/bundle.h"
#include "libraries/model/job_spec.h"
#include "libraries/model/placement_record.h"
#include "libraries/model/zone_table.h"

namespace papayalift {

enum class WorkerHealth {
  kHealthy,
  /// It failed what it started: one canary task at a time until one passes.
  kProbation,
  /// Gone, leaving or not answering: nothing new.
  kUnavailable,
};

struct WorkerView {
  WorkerId id;
  ZoneId zone;
  RackId rack;
  AcceleratorCount accelerators;
  WorkerHealth health = WorkerHealth::kHealthy;
};

/// A gang that holds accelerators, in whichever phase.
struct GangView {
  JobId job;
  WorkspaceId workspace;
  ZoneId zone;
  Shape shape;
  Claim claim = Claim::kBorrowed;
  PlacementPhase phase = PlacementPhase::kCommitted;
  Urgency urgency = Urgency::kNormal;
  std::vector<TaskPlacement> tasks;
  /// How long it has run in this attempt.
  Milliseconds running_for{0};
  /// What would be lost if it were stopped at once.
  Milliseconds since_checkpoint{0};
  /// Time that the job has held accelerators over all attempts.
  Milliseconds attained{0};
  /// As declared by the caller; known to be far off.
  Milliseconds declared_run_time{0};
};

struct WaitingJob {
  JobId job;
  WorkspaceId workspace;
  Shape shape;
  Urgency urgency = Urgency::kNormal;
  /// Since it was submitted or last stopped.
  Milliseconds waiting_for{0};
  Milliseconds attained{0};
  Milliseconds declared_run_time{0};
};

struct Snapshot {
  std::vector<WorkspaceSpec> workspaces;
  ZoneTable zones;
  /// Since each zone was last taken out or brought back; a zone that is not named never was.
  std::map<ZoneId, Milliseconds> time_since_zone_change;
  std::vector<WorkerView> workers;
  std::vector<GangView> gangs;
  /// In the order of submission.
  std::vector<WaitingJob> waiting;
};

}  // namespace papayalift
