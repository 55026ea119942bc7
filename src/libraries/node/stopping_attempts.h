/// Lists the attempts that a node reports to its peers as possibly stopping.
#pragma once

#include <vector>

#include "libraries/node/fleet_view.h"
#include "libraries/node/session_runner.h"

namespace papayalift {

/// The attempts in `view` that are stopping according to the records, or whose job has a session in
/// `runner`.
std::vector<AttemptId> StoppingAttempts(const FleetView& view, const SessionRunner& runner);

}  // namespace papayalift
