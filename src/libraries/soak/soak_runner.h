/// Runs one soak against processes that something else has started.
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
  /// How long jobs may take to end once the faults are over.
  Milliseconds settle{60'000};
  /// Holds a file "node-N.pid" with the id of each node's process.
  std::string directory;
  /// The stand-in of the platform listens here; the ports above belong to the soak, as
  /// `meta/soak` lays them out.
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
  std::vector<std::string> broken;
};

/// kUnavailable where the processes or the ports are not there. Faults are undone at the end.
absl::StatusOr<SoakResult> RunSoak(EventLoop& loop, const SoakOptions& options);

}  // namespace papayalift
