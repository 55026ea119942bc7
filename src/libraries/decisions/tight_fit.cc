#include "libraries/decisions/tight_fit.h"

#include <algorithm>
#include <tuple>

#include "libraries/decisions/run_lengths.h"

namespace papayalift {

namespace {

/// One more rack outweighs any gap in workers, and a gap in workers any gap in a rack.
constexpr double kRackCost = 1'000;
constexpr double kWorkerGapCost = 1;
constexpr double kRackGapCost = 0.001;

struct WorkerRoom {
  const WorkerCapacity* worker = nullptr;
  int tasks = 0;
  int free = 0;
};

struct RackRoom {
  WorkerRange workers;
  int tasks = 0;
  int free = 0;
  bool used = false;
};

std::vector<RackRoom> RackRooms(const Shape& shape, const CapacityMap& capacity,
                                const ZoneRange& zone) {
  std::vector<RackRoom> rooms;
  rooms.reserve(zone.racks.size());
  for (const WorkerRange& rack : zone.racks) {
    RackRoom room{rack};
    for (std::size_t at = rack.begin; at < rack.end; ++at) {
      const AcceleratorSet free = capacity.workers()[at].free;
      room.tasks += TasksThatFit(free, shape.accelerators_per_task);
      room.free += free.Count().value();
    }
    rooms.push_back(room);
  }
  return rooms;
}

/// The tightest rack that holds all missing tasks, else the one that holds most.
RackRoom* NextRack(std::vector<RackRoom>& rooms, int missing) {
  RackRoom* best = nullptr;
  const auto rank = [missing](const RackRoom& room) {
    const bool holds_all = room.tasks >= missing;
    return holds_all ? std::tuple(0, room.free, room.tasks) : std::tuple(1, -room.tasks, room.free);
  };
  for (RackRoom& room : rooms) {
    const bool usable = !room.used && room.tasks > 0;
    if (usable && (best == nullptr || rank(room) < rank(*best))) {
      best = &room;
    }
  }
  return best;
}

std::vector<WorkerRoom> WorkerRooms(const Shape& shape, const CapacityMap& capacity,
                                    const WorkerRange& rack) {
  std::vector<WorkerRoom> rooms;
  for (std::size_t at = rack.begin; at < rack.end; ++at) {
    const WorkerCapacity& worker = capacity.workers()[at];
    const int tasks = TasksThatFit(worker.free, shape.accelerators_per_task);
    if (tasks > 0) {
      rooms.push_back({&worker, tasks, worker.free.Count().value()});
    }
  }
  std::stable_sort(rooms.begin(), rooms.end(), [](const WorkerRoom& left, const WorkerRoom& right) {
    return std::tuple(-left.tasks, left.free) < std::tuple(-right.tasks, right.free);
  });
  return rooms;
}

/// The last of the workers from `first` on that hold all missing tasks; among equals the tightest.
std::size_t TightestFrom(const std::vector<WorkerRoom>& rooms, std::size_t first, int missing) {
  std::size_t best = first;
  for (std::size_t at = first; at < rooms.size() && rooms[at].tasks >= missing; ++at) {
    if (rooms[at].free < rooms[best].free) {
      best = at;
    }
  }
  return best;
}

/// Fills one rack; adds to the cost what its workers have left over.
void FillRack(const Shape& shape, const CapacityMap& capacity, const WorkerRange& rack,
              PlacementChoice& choice) {
  const std::vector<WorkerRoom> rooms = WorkerRooms(shape, capacity, rack);
  for (std::size_t at = 0; at < rooms.size(); ++at) {
    const int before = static_cast<int>(choice.tasks.size());
    const int missing = shape.tasks.value() - before;
    if (missing == 0) {
      return;
    }
    const bool is_last = rooms[at].tasks >= missing;
    const WorkerRoom& room = rooms[is_last ? TightestFrom(rooms, at, missing) : at];
    FillWorker(*room.worker, shape, choice.tasks);
    const int placed = static_cast<int>(choice.tasks.size()) - before;
    choice.cost += kWorkerGapCost * (room.free - placed * shape.accelerators_per_task.value());
  }
}

}  // namespace

std::optional<PlacementChoice> TightFit::PlaceInZone(const Shape& shape,
                                                     const CapacityMap& capacity,
                                                     const ZoneRange& zone) const {
  std::vector<RackRoom> racks = RackRooms(shape, capacity, zone);
  PlacementChoice choice;
  choice.zone = zone.zone;
  while (static_cast<int>(choice.tasks.size()) < shape.tasks.value()) {
    const int missing = shape.tasks.value() - static_cast<int>(choice.tasks.size());
    RackRoom* const rack = NextRack(racks, missing);
    if (rack == nullptr) {
      return std::nullopt;
    }
    rack->used = true;
    FillRack(shape, capacity, rack->workers, choice);
    choice.cost += kRackCost + kRackGapCost * rack->free;
  }
  return choice;
}

}  // namespace papayalift
