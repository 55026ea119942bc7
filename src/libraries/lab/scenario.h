/// Input of a lab run: the deployment, its workspaces, the load and the injected faults.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/model/bundle.h"
#include "libraries/model/shape.h"

namespace papayalift {

/// `count` workers of one size, distributed evenly over the availability zones.
struct WorkerGroup {
  int count = 0;
  AcceleratorCount accelerators{0};
};

struct DeploymentPlan {
  int regions = 1;
  /// Total of all regions.
  int zones = 1;
  int workers_per_rack = 1;
  std::vector<WorkerGroup> workers;
};

struct WorkspacePlan {
  WorkspaceSpec spec;
  /// Relative weight among all workspaces in the arrivals of every class.
  double share = 1.0;
};

/// Jobs with the same arrival process and run time distribution.
struct JobClass {
  std::string name;
  /// Each job has one of these shapes, chosen uniformly.
  std::vector<Shape> shapes;
  /// Rate of the Poisson arrivals, excluding bursts.
  double jobs_per_day = 0.0;
  double bursts_per_day = 0.0;
  int jobs_per_burst = 0;
  /// Median of the log-normal actual run time.
  Milliseconds run_time{0};
  /// Standard deviation of the logarithm of the run time.
  double run_time_spread = 0.0;
  /// Geometric standard deviation of the declared run time around the actual one.
  double declared_error = 1.0;
  /// Fraction of jobs that are too large for the deployment.
  double never_share = 0.0;
  double urgent_share = 0.0;
  /// Workspaces that submit the jobs; empty means all.
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

/// Randomly chosen workers that fail every task they start.
struct FailingWorkers {
  int count = 0;
  Milliseconds from{0};
  Milliseconds until{0};
};

struct RunTiming {
  /// Arrival period; fragmentation and utilisation are measured within it.
  Milliseconds length{0};
  /// Additional time for the jobs to end.
  Milliseconds drain{0};
  /// The longest time between two passes while jobs wait.
  Milliseconds pass_interval{0};
  /// From a start decision until all tasks run.
  Milliseconds start_delay{0};
  /// From an event on a worker until the scheduler sees it.
  Milliseconds report_lag{0};
  /// Time between periodic checkpoints of a gang.
  Milliseconds checkpoint_interval{0};
  /// Fraction of planned stops whose checkpoint fails, so that the last periodic one is used.
  double checkpoint_failures = 0.0;
  /// From a stop decision until the accelerators are free.
  Milliseconds stop_grace{0};
  /// From the start on a failing worker until the gang fails.
  Milliseconds failure_time{0};
  /// Time for which a gang must run on a worker on probation before the worker is healthy again.
  Milliseconds canary_time{0};
  /// An urgent claim open for longer is missed.
  Milliseconds urgent_claim_limit{0};
  /// A non-urgent claim open for longer is missed.
  Milliseconds claim_limit{0};
  /// Time after the return of a zone that still counts as part of the zone change.
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
