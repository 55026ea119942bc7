/// The input of a scheduling pass: the state of the fleet at one moment, as plain values without
/// clocks, sockets or threads.
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
  /// Several jobs in a row failed on it; it gets one canary task at a time until one succeeds.
  kProbation,
  /// Gone, leaving, not answering or quarantined; it gets no new tasks.
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
  /// Run time of the current attempt.
  Milliseconds running_for{0};
  /// Time since the last checkpoint: the work that stopping the gang at once would lose.
  Milliseconds since_checkpoint{0};
  /// Time that the job has held accelerators over all attempts.
  Milliseconds attained_time{0};
  /// As declared by the caller; often far from the actual run time.
  Milliseconds declared_run_time{0};
};

struct WaitingJob {
  JobId job;
  WorkspaceId workspace;
  Shape shape;
  Urgency urgency = Urgency::kNormal;
  /// Time since the job was submitted or its gang was last stopped.
  Milliseconds waiting_for{0};
  Milliseconds attained_time{0};
  Milliseconds declared_run_time{0};
};

struct Snapshot {
  std::vector<WorkspaceSpec> workspaces;
  ZoneTable zones;
  /// Time since each zone was last taken out or brought back. Zones that never were are absent.
  std::map<ZoneId, Milliseconds> time_since_zone_change;
  std::vector<WorkerView> workers;
  std::vector<GangView> gangs;
  /// In the order of submission.
  std::vector<WaitingJob> waiting;
};

}  // namespace papayalift
