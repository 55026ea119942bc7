/// The input of a planning pass.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/work/fleet_manifest.h"
#include "libraries/work/resources.h"
#include "libraries/work/work_spec.h"

namespace papayalift {

/// A run on a minion that will free its resources.
struct PlanRun {
  Resources needs;
  /// Until its expected end; 0 if it is being stopped.
  Milliseconds remaining{0};
  /// Its progress shows when it will end. False if `remaining` is no more than an estimate, or if
  /// the run is being stopped.
  bool shows_end = false;
};

/// A minion that can be given work, if only as a last resort.
struct PlanMinion {
  MinionId id;
  ServiceId service;
  RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  /// Not allocated to runs that are active, may be active, or are being stopped.
  Resources free;
  /// Allocated to runs that are being stopped.
  Resources being_freed;
  /// Nothing runs on the minion.
  bool is_idle = false;
  /// May be left empty if no pending step is a gang or prefers a rack.
  std::vector<PlanRun> runs;
  /// Tasks have failed or stood still on it lately. It only gets work as a last resort.
  bool is_avoided = false;
  /// Work per second: relative to the usual minion if the service's machines differ much, else to
  /// the estimates of steps.
  double speed = 1;
  /// It is among the fast minions of a service whose minions differ so much that fast ones are kept
  /// for steps that need them.
  bool is_fast = false;
  /// Its service's minions differ that much, and its own speed is not known yet.
  bool needs_measurement = false;
};

/// One step of a job that has waiting tasks.
struct PendingStep {
  JobId job;
  int step = 0;
  ServiceId service;
  WorkspaceId workspace;
  StepSpec spec;
  /// Indexes of the waiting tasks; for a gang, all tasks.
  std::vector<int> task_indexes;
  /// Waiting tasks that are suspected of crashing minions and start on minions without other runs.
  std::set<int> isolated;
  /// Minions on machines where such a task has crashed one. Isolated tasks start on others, which
  /// shows whether it was the task or the machine.
  std::set<MinionId> crashed;
  /// Number of the step's tasks already placed on each minion; only filled if the step limits them.
  std::map<MinionId, int> placed_on_minion;
  /// Minions on which tasks of the job have failed.
  std::set<MinionId> failed_on;
  Priority priority;
  /// The job is within its workspace's guarantee and may stop others.
  bool is_guaranteed = false;
  /// The step has waited long enough to also stop borrowers of its own priority.
  bool may_stop_borrowers = false;
  /// Beyond its guarantee the step may stop lower priorities if that costs less than this
  /// (CostOfStop()), in weighted core-seconds.
  double max_lost_work = 0;
  /// A step that may stop others rather waits for runs that show that they end within this time.
  Milliseconds max_wait_for_ends{0};
  /// More stops would come too late for the step. It waits for room that is being freed.
  bool may_only_await_stops = false;
  Milliseconds waited{0};
  /// Time left until the step must start for the job to be on time; negative if the job is late.
  Milliseconds slack{0};
  /// The least speed with which the step can still be on time; 0 if it needs none, or if none is
  /// enough.
  double min_speed = 0;
  /// Time left until it must start for the job to be worth anything to its caller; only looked at
  /// once `slack` is negative.
  Milliseconds worthless_slack{0};
  /// How much longer the step takes away from its preferred rack; 0 if it is never held for it.
  Milliseconds remote_penalty{0};
  /// How long the step has been held back for its preferred rack so far, over all its starts.
  Milliseconds held_for_rack{0};
  /// The step may start on minions that are avoided.
  bool may_use_avoided = false;
  /// Runs of the job are active or may be.
  bool job_has_runs = false;
  /// How long the step waits for minions without other runs before isolated tasks start elsewhere:
  /// while at least half of the capacity is in use, and otherwise.
  Milliseconds max_isolation_wait{0};
  Milliseconds max_isolation_wait_with_spare_capacity{0};
};

/// A workspace with a quota or a weight.
struct PlanWorkspace {
  WorkspaceId id;
  /// What its runs may use together; 0 means no limit.
  Resources quota;
  /// Allocated to all its runs, those that are being stopped included.
  Resources running;
  /// Allocated to runs that are being stopped.
  Resources being_freed;
  /// Its share of a full fleet, relative to the weights of the others; 0 if none is set.
  double weight = 0;
};

/// The minion chosen for the task with the index.
struct PlannedPlacement {
  int index = 0;
  MinionId minion;
};

/// Runs that can be stopped to free capacity, and are stopped together: a gang or a single task.
struct PlanVictim {
  JobId job;
  int step = 0;
  WorkspaceId workspace;
  Priority priority;
  /// The job has guaranteed priority but exceeds its workspace's guarantee.
  bool is_borrower = false;
  Resources needs_per_task;
  std::vector<PlannedPlacement> placements;
  /// Weighted core-seconds of work that are lost if the runs are stopped.
  double unsaved_work = 0;
  /// Weighted core-seconds of all of its runs, from start to end.
  double work = 0;
  /// How often it was stopped for others in this term.
  int times_stopped = 0;
  /// Time to spare until the job can't be on time: if its runs go on, and if they are stopped.
  Milliseconds slack{0};
  Milliseconds slack_if_stopped{0};
  /// Until the first expected end of its runs that show when they will end.
  std::optional<Milliseconds> first_end;
  /// Until the last; empty if not all of its runs show it.
  std::optional<Milliseconds> last_end;
};

/// How steps are ordered and runs chosen to be stopped when capacity is short.
enum class DelayPolicy {
  /// By priority and slack alone, and by unsaved work. Only tests set it, to compare.
  kBySlack,
  /// By what the delay or the stop costs callers (delay_cost.h).
  kByCost,
};

/// How many tasks one pass may start, whatever room there is. A step that is begun may exceed it,
/// so that a gang is not passed over for ever.
struct StartAllowance {
  static constexpr std::int64_t kUnlimited = std::numeric_limits<std::int64_t>::max() / 2;

  std::int64_t tasks = kUnlimited;
  /// Including those within a guarantee, which come first.
  std::int64_t guaranteed_tasks = kUnlimited;
  /// Of one step without a guarantee that is not a gang.
  std::int64_t tasks_per_step = kUnlimited;

  /// The leader is behind, so what it can follow is shared out among jobs.
  bool is_limited() const { return tasks_per_step < kUnlimited; }
};

struct PlanSnapshot {
  DelayPolicy policy = DelayPolicy::kByCost;
  std::vector<PlanMinion> minions;
  std::vector<PendingStep> pending_steps;
  std::vector<PlanVictim> victims;
  std::vector<PlanWorkspace> workspaces;
  StartAllowance starts;
};

}  // namespace papayalift
