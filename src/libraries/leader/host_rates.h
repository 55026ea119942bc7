/// Measures the progress of runs of like work that run at the same time.
#pragma once

#include <vector>

#include "libraries/leader/host_speeds.h"
#include "libraries/leader/leader_state.h"

namespace papayalift {

/// The rates of all gangs and steps whose runs have shown enough progress since they were last
/// measured; one group for each. Begins a new measurement of these runs.
std::vector<std::vector<HostRate>> MeasureHostRates(LeaderState& state, Milliseconds now);

}  // namespace papayalift
