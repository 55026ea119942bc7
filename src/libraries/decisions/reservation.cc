#include "libraries/decisions/reservation.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace papayalift {

namespace {

struct ExpectedEnd {
  Milliseconds remaining{0};
  const GangView* gang = nullptr;
};

std::vector<ExpectedEnd> ExpectedEndsIn(const ZoneId& zone, const ReservationInput& input) {
  std::vector<ExpectedEnd> ends;
  for (const GangView& gang : input.snapshot.gangs) {
    if (gang.zone == zone) {
      const bool stopping = gang.phase == PlacementPhase::kStopping;
      ends.push_back({stopping ? Milliseconds{0} : input.estimate.RemainingTimeOf(gang), &gang});
    }
  }
  std::stable_sort(ends.begin(), ends.end(), [](const ExpectedEnd& left, const ExpectedEnd& right) {
    return left.remaining < right.remaining;
  });
  return ends;
}

/// A copy of the capacity after the first `count` ends.
CapacityMap CapacityAfter(const std::vector<ExpectedEnd>& ends, std::size_t count,
                          const CapacityMap& capacity) {
  CapacityMap later = capacity;
  for (std::size_t index = 0; index < count; ++index) {
    later.Release(ends[index].gang->tasks);
  }
  return later;
}

std::optional<Reservation> FindInZone(const WaitingJob& job, const ZoneRange& zone,
                                      const ReservationInput& input) {
  const std::vector<ExpectedEnd> ends = ExpectedEndsIn(zone.zone, input);
  if (!input.placer.FindPlacementInZone(job.shape, CapacityAfter(ends, ends.size(), input.capacity),
                                        zone)) {
    return std::nullopt;
  }
  // Free capacity only grows as gangs end, so a binary search finds the smallest number of ends.
  std::size_t low = 0;
  std::size_t high = ends.size();
  while (low < high) {
    const std::size_t middle = (low + high) / 2;
    const bool fits =
        input.placer
            .FindPlacementInZone(job.shape, CapacityAfter(ends, middle, input.capacity), zone)
            .has_value();
    (fits ? high : low) = fits ? middle : middle + 1;
  }
  std::optional<PlacementChoice> placement =
      input.placer.FindPlacementInZone(job.shape, CapacityAfter(ends, low, input.capacity), zone);
  const Milliseconds available_in = low == 0 ? Milliseconds{0} : ends[low - 1].remaining;
  return Reservation{job.job, *std::move(placement), available_in};
}

}  // namespace

std::optional<Reservation> FindReservation(const WaitingJob& job, const ReservationInput& input) {
  std::optional<Reservation> best;
  for (const ZoneRange& zone : input.capacity.zones()) {
    std::optional<Reservation> found = FindInZone(job, zone, input);
    if (found && (!best || found->available_in < best->available_in)) {
      best = std::move(found);
    }
  }
  return best;
}

}  // namespace papayalift
