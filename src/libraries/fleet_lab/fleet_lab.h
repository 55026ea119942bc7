/// Loads a fleet, works through a fault file, and checks the promises.
#pragma once

#include "absl/status/statusor.h"
#include "libraries/fleet_lab/fault_file.h"
#include "libraries/fleet_lab/fleet_listing.h"
#include "libraries/fleet_lab/lab_result.h"

namespace papayalift {

struct LabOptions {
  Milliseconds duration{30'000};
  /// How long jobs may take to end once load and faults are over.
  Milliseconds settle{60'000};
  std::uint64_t seed = 1;
};

/// kUnavailable where no bundle could be put in force to begin with.
absl::StatusOr<LabResult> RunFleetLab(const FleetListing& fleet, const FaultFile& faults,
                                      const LabOptions& options);

}  // namespace papayalift
