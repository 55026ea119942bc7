/// The job and placement records of one gang, read together at one revision.
#pragma once

#include <optional>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/model/bundle.h"
#include "libraries/model/job_record.h"
#include "libraries/model/placement_record.h"
#include "libraries/node/versioned.h"
#include "libraries/store/key_value_service.h"
#include "libraries/worker/worker_messages.h"

namespace papayalift {

struct GangRecords {
  std::optional<Versioned<JobRecord>> job;
  std::optional<Versioned<PlacementRecord>> placement;
};

absl::StatusOr<GangRecords> ReadGang(KeyValueService& store, const JobId& job, const ZoneId& zone);

/// The gang's tasks on one worker.
struct WorkerShare {
  WorkerTarget worker;
  std::vector<AcceleratorSet> tasks;
};

/// kNotFound where `bundle` does not declare one of the workers.
absl::StatusOr<std::vector<WorkerShare>> SharesOf(const PlacementRecord& placement,
                                                  const Bundle& bundle);

/// As SharesOf(), but a worker that `bundle` does not declare has an empty address. It can't be
/// reached, so stopping the gang waits until the worker's lease has lapsed.
std::vector<WorkerShare> SharesToStop(const PlacementRecord& placement, const Bundle& bundle);

}  // namespace papayalift
