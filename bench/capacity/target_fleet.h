/// Generates records of a synthetic fleet.
#pragma once

#include <string>

#include "capacity/target_size.h"
#include "libraries/model/job_record.h"
#include "libraries/model/placement_record.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

/// Bundle in TOML.
std::string MakeBundleText(const TargetSize& size);

JobRecord MakeJobRecord(int number);

/// Placement of a gang of `tasks` tasks, each on a separate worker.
PlacementRecord MakePlacementRecord(int number, int tasks);

/// All records under the watched prefix, for `ended` ended jobs and `gangs` running gangs of four
/// tasks.
RangeAnswer MakeRecords(int ended, int gangs);

}  // namespace papayalift
