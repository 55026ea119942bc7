/// What a lab run plays: a deployment, its workspaces, the load and the faults.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/model/bundle.h"
#include "libraries/model/shape.h"

namespace papayalift {

/// `count` workers of one size, dealt evenly to the availability zones.
struct WorkerGroup {
  int count = 0;
  AcceleratorCount accelerators{0};
};

struct DeploymentPlan {
  int regions = 1;
  /// Over all regions.
  int zones = 1;
  int workers_per_rack = 1;
  std::vector<WorkerGroup> workers;
};

struct WorkspacePlan {
  WorkspaceSpec spec;
  /// Relative weight among all workspaces in the arrivals of every class.
  double share = 1.0;
};

/// Jobs that arrive alike.
struct JobClass {
  std::string name;
  /// Each job takes one of them, all equally likely.
  std::vector<Shape> shapes;
  /// Mean of the Poisson arrivals, bursts not included.
  double jobs_per_day = 0.0;
  double bursts_per_day = 0.0;
  int jobs_per_burst = 0;
  /// Median of the log-normal true run time.
  Milliseconds run_time{0};
  /// Standard deviation of the logarithm of the run time.
  double run_time_spread = 0.0;
  /// Declared times are off by this factor, up or down, at one standard deviation.
  double declared_error = 1.0;
  /// Share of jobs that no capacity could ever hold.
  double never_share = 0.0;
  double urgent_share = 0.0;
  /// Who submits them; all workspaces where it is empty.
  std::vector<WorkspaceId> workspaces;
};

struct ZoneChange {
  ZoneId zone;
  Milliseconds out{0};
  Milliseconds back{0};
};

/// A caller submits many jobs at once and cancels those that have not ended.
struct CancellationWave {
  std::string job_class;
  WorkspaceId workspace;
  Milliseconds submit{0};
  Milliseconds cancel{0};
  int jobs = 0;
};

/// Workers, drawn by the seed, that fail everything they start.
struct FailingWorkers {
  int count = 0;
  Milliseconds from{0};
  Milliseconds until{0};
};

struct RunTiming {
  /// Arrivals end here, and so do fragmentation and utilisation.
  Milliseconds length{0};
  /// How much longer the jobs may take to end.
  Milliseconds drain{0};
  /// The longest time between two passes while jobs wait.
  Milliseconds pass_interval{0};
  /// From a start decision until all tasks run.
  Milliseconds start_delay{0};
  /// From an event on a worker until the scheduler sees it.
  Milliseconds report_lag{0};
  /// Between periodic checkpoints of a gang.
  Milliseconds checkpoint_interval{0};
  /// Share of planned stops whose checkpoint fails: the last periodic one counts.
  double checkpoint_failures = 0.0;
  /// From a stop decision until the accelerators are free.
  Milliseconds stop_grace{0};
  /// From the start on a failing worker until the gang fails.
  Milliseconds failure_time{0};
  /// A worker on probation is healthy again after a gang has run on it for so long.
  Milliseconds canary_time{0};
  /// An urgent claim that starts later is missed.
  Milliseconds urgent_claim_limit{0};
  /// A claim that is not urgent and starts later is missed.
  Milliseconds claim_limit{0};
  /// After a zone is back, the zone change is taken to last so much longer.
  Milliseconds zone_settle{0};
};

struct Scenario {
  std::string name;
  RunTiming timing;
  DeploymentPlan deployment;
  std::vector<WorkspacePlan> workspaces;
  std::vector<JobClass> classes;
  std::vector<ZoneChange> zone_changes;
  std::vector<CancellationWave> cancellation_waves;
  std::vector<FailingWorkers> failing_workers;
};

}  // namespace papayalift
