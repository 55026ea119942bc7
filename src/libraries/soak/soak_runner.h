/// Runs one soak against processes that are already running.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/soak/loopback_proxy.h"
#include "libraries/soak/soak_consumers.h"
#include "libraries/soak/soak_plan.h"

namespace papayalift {

struct SoakOptions {
  std::uint64_t seed = 1;
  SoakSize size;
  /// Time allowed for jobs to end after the faults are over.
  Milliseconds settle{60'000};
  /// Contains a file "node-N.pid" with the process id of each node.
  std::string directory;
  /// Port of the platform's stand-in; the ports above it are reserved for the soak, as assigned by
  /// `meta/soak`.
  int base_port = 0;
  SoakBounds bounds = SoakBounds::kTimed;
};

struct SoakResult {
  int jobs = 0;
  int accepted = 0;
  int rejected = 0;
  int done = 0;
  int cancelled = 0;
  int answered = 0;
  int unanswered = 0;
  int faults = 0;
  /// The longest time that a job had no run, after its first start, while many minions were empty.
  Milliseconds longest_standstill{0};
  std::vector<std::string> broken;
};

/// Returns kUnavailable if the processes or ports are not available. Reverts faults at the end.
absl::StatusOr<SoakResult> RunSoak(EventLoop& loop, const SoakOptions& options);

}  // namespace papayalift
