/// A fault file: what loads the fleet, and which faults come when. TOML; docs/design/fleet-lab.md
/// has the format.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/fleet_lab/fault_step.h"

namespace papayalift {

struct LoadSpec {
  int calls_per_second = 100;
  /// Calls in flight at most.
  int callers = 16;
  /// Share of calls and jobs that may be repeated.
  double idempotent_share = 0.5;
  Milliseconds call_limit{3'000};
  std::string service = "previews";
  double jobs_per_second = 1.0;
  int largest_gang = 8;
  Milliseconds longest_job{4'000};
};

struct FaultFile {
  LoadSpec load;
  /// In the order of their times.
  std::vector<FaultStep> steps;
};

/// `file` is only named in messages. kInvalidArgument lists every problem, one a line.
absl::StatusOr<FaultFile> ParseFaultFile(const std::string& text, const std::string& file);

}  // namespace papayalift
