/// Backfill reservations: when and where a job that does not fit now is expected to fit, so that
/// other jobs start only where they don't delay it.
#pragma once

#include <optional>

#include "libraries/decisions/placer.h"
#include "libraries/decisions/run_time_estimate.h"

namespace papayalift {

struct Reservation {
  JobId job;
  PlacementChoice placement;
  /// Time until the last gang on that placement is expected to end.
  Milliseconds available_in{0};
};

struct ReservationInput {
  const Snapshot& snapshot;
  /// Free capacity, with all gangs placed, including those that the pass has started so far.
  const CapacityMap& capacity;
  const Placer& placer;
  const RunTimeEstimate& estimate;
};

/// Reserves the zone where `job` fits soonest if gangs end when they are expected to. Returns
/// nullopt if `job` would fit in no zone even after all gangs have ended.
std::optional<Reservation> FindReservation(const WaitingJob& job, const ReservationInput& input);

}  // namespace papayalift
