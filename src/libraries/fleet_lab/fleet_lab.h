/// Puts load on a fleet, executes a fault file, and checks the promises.
#pragma once

#include "absl/status/statusor.h"
#include "libraries/fleet_lab/fault_file.h"
#include "libraries/fleet_lab/fleet_listing.h"
#include "libraries/fleet_lab/lab_result.h"

namespace papayalift {

struct LabOptions {
  Milliseconds duration{30'000};
  /// Time allowed for open jobs to end after load and faults have stopped.
  Milliseconds settle{60'000};
  std::uint64_t seed = 1;
};

/// Returns kUnavailable if no initial bundle could be put in force.
absl::StatusOr<LabResult> RunFleetLab(const FleetListing& fleet, const FaultFile& faults,
                                      const LabOptions& options);

}  // namespace papayalift
