/// Records of a fleet of any size, made up.
#pragma once

#include <string>

#include "capacity/target_size.h"
#include "libraries/model/job_record.h"
#include "libraries/model/placement_record.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

/// The bundle, TOML.
std::string MakeBundleText(const TargetSize& size);

JobRecord MakeJobRecord(int number);

/// A gang of `tasks` tasks, each on a worker of its own.
PlacementRecord MakePlacementRecord(int number, int tasks);

/// Every record under the watched prefix: `ended` jobs, and `gangs` of four tasks that run.
RangeAnswer MakeRecords(int ended, int gangs);

}  // namespace papayalift
