/// A fault file: the load on the fleet and the schedule of faults. The TOML format is described in
/// docs/design/fleet-lab.md.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/fleet_lab/fault_step.h"

namespace papayalift {

struct LoadSpec {
  int calls_per_second = 100;
  /// Maximum number of calls in flight.
  int callers = 16;
  /// Fraction of calls and jobs that are idempotent.
  double idempotent_share = 0.5;
  Milliseconds call_limit{3'000};
  std::string service = "previews";
  double jobs_per_second = 1.0;
  int largest_gang = 8;
  Milliseconds longest_job{4'000};
};

struct FaultFile {
  LoadSpec load;
  /// Sorted by start time.
  std::vector<FaultStep> steps;
};

/// `file` is used only in error messages. Returns kInvalidArgument with one line for each problem.
absl::StatusOr<FaultFile> ParseFaultFile(const std::string& text, const std::string& file);

}  // namespace papayalift
