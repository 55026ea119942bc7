/// What a planning pass sees.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/work/fleet_manifest.h"
#include "libraries/work/resources.h"
#include "libraries/work/work_spec.h"

namespace papayalift {

/// A minion that may be given work.
struct PlanMinion {
  MinionId id;
  ServiceId service;
  RackId rack;
  std::vector<std::string> labels;
  Resources capacity;
  /// Not taken by anything that runs, may run, or is being stopped.
  Resources free;
  /// Taken by runs that are being stopped.
  Resources being_freed;
  /// Work done a second against a sound minion's 1.
  double speed = 1;
};

/// One step of one job with tasks that wait.
struct PendingStep {
  JobId job;
  int step = 0;
  ServiceId service;
  StepSpec spec;
  /// Tasks that wait; of a gang, all.
  std::vector<int> task_indexes;
  /// Tasks of the step that each minion has already; only kept where the step limits them.
  std::map<MinionId, int> placed_on_minion;
  /// Where tasks of the job have failed before.
  std::set<MinionId> failed_on;
  Priority priority;
  /// Within its workspace's guarantee: it may stop others.
  bool is_guaranteed = false;
  /// It has waited so long that it may also stop borrowers of its own priority.
  bool may_stop_borrowers = false;
  Milliseconds waited{0};
  /// Until when it has to start to be on time; negative where that has passed.
  Milliseconds slack{0};
  /// How long it waits for its rack before it runs elsewhere.
  Milliseconds max_rack_wait{0};
};

struct PlannedPlacement {
  int index = 0;
  MinionId minion;
};

/// Runs that end together: a gang, or one task.
struct PlanVictim {
  JobId job;
  int step = 0;
  Priority priority;
  /// Of guaranteed priority, and beyond what its workspace is guaranteed.
  bool is_borrower = false;
  Resources needs_each;
  std::vector<PlannedPlacement> placements;
  /// Weighted core-seconds that are lost when it is stopped.
  double unsaved_work = 0;
};

struct PlanSnapshot {
  std::vector<PlanMinion> minions;
  std::vector<PendingStep> pending_steps;
  std::vector<PlanVictim> victims;
};

}  // namespace papayalift
