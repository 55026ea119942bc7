/// The stored record of an accepted job; never changed after it was written.
#pragma once

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/work/fleet_manifest.h"
#include "libraries/work/work_spec.h"

namespace papayalift {

struct AcceptedJob {
  JobId id;
  QueueId queue;
  ServiceId service;
  /// Empty if the queue needs no key.
  WorkspaceId workspace;
  Priority priority;
  int max_attempts = 1;
  double slack_factor = 1;
  Milliseconds latency_target{0};
  /// Wall clock of the node that accepted the job.
  Milliseconds accepted_at{0};
  WorkSpec work;
};

}  // namespace papayalift
