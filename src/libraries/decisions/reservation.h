/// When and where the first job that does not fit will have room, so that others start only where
/// they don't delay it.
#pragma once

#include <optional>

#include "libraries/decisions/placer.h"
#include "libraries/decisions/run_time_estimate.h"

namespace papayalift {

struct Reservation {
  JobId job;
  PlacementChoice placement;
  /// From now on until the last gang that sits there is expected to end.
  Milliseconds available_in{0};
};

struct ReservationInput {
  const Snapshot& snapshot;
  /// With every gang held, and what the pass has started so far.
  const CapacityMap& capacity;
  const Placer& placer;
  const RunTimeEstimate& estimate;
};

/// The zone where `job` has room soonest, as gangs end in the order that is expected. Nothing where
/// even a zone without its gangs has no room.
std::optional<Reservation> FindReservation(const WaitingJob& job, const ReservationInput& input);

}  // namespace papayalift
