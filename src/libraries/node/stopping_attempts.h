/// What a node tells its peers that it may be stopping.
#pragma once

#include <vector>

#include "libraries/node/fleet_view.h"
#include "libraries/node/session_runner.h"

namespace papayalift {

/// The attempts of `view` that are known to be stopping, by the records or by a session of
/// `runner`.
std::vector<AttemptId> StoppingAttempts(const FleetView& view, const SessionRunner& runner);

}  // namespace papayalift
