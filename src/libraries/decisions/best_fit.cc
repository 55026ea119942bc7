#include "libraries/decisions/best_fit.h"

#include <algorithm>
#include <tuple>

#include "libraries/decisions/run_lengths.h"

namespace papayalift {

namespace {

/// One more rack outweighs any free accelerators left on the chosen workers, and these outweigh any
/// in the rack.
constexpr double kRackCost = 1'000;
constexpr double kWorkerLeftoverCost = 1;
constexpr double kRackLeftoverCost = 0.001;

struct WorkerFit {
  const WorkerCapacity* worker = nullptr;
  int tasks = 0;
  int free = 0;
};

struct RackFit {
  WorkerRange workers;
  int tasks = 0;
  int free = 0;
  bool used = false;
};

std::vector<RackFit> ComputeRackFits(const Shape& shape, const CapacityMap& capacity,
                                     const ZoneRange& zone) {
  std::vector<RackFit> fits;
  fits.reserve(zone.racks.size());
  for (const WorkerRange& rack : zone.racks) {
    RackFit fit{rack};
    for (std::size_t position = rack.begin; position < rack.end; ++position) {
      const AcceleratorSet free = capacity.workers()[position].free;
      fit.tasks += TasksThatFit(free, shape.accelerators_per_task);
      fit.free += free.Count().value();
    }
    fits.push_back(fit);
  }
  return fits;
}

/// The rack with the fewest free accelerators that holds all missing tasks, else the rack that
/// holds the most.
RackFit* ChooseRack(std::vector<RackFit>& fits, int missing) {
  RackFit* best = nullptr;
  const auto rank = [missing](const RackFit& fit) {
    const bool holds_all = fit.tasks >= missing;
    return holds_all ? std::tuple(0, fit.free, fit.tasks) : std::tuple(1, -fit.tasks, fit.free);
  };
  for (RackFit& fit : fits) {
    const bool usable = !fit.used && fit.tasks > 0;
    if (usable && (best == nullptr || rank(fit) < rank(*best))) {
      best = &fit;
    }
  }
  return best;
}

std::vector<WorkerFit> ComputeWorkerFits(const Shape& shape, const CapacityMap& capacity,
                                         const WorkerRange& rack) {
  std::vector<WorkerFit> fits;
  for (std::size_t position = rack.begin; position < rack.end; ++position) {
    const WorkerCapacity& worker = capacity.workers()[position];
    const int tasks = TasksThatFit(worker.free, shape.accelerators_per_task);
    if (tasks > 0) {
      fits.push_back({&worker, tasks, worker.free.Count().value()});
    }
  }
  std::stable_sort(fits.begin(), fits.end(), [](const WorkerFit& left, const WorkerFit& right) {
    return std::tuple(-left.tasks, left.free) < std::tuple(-right.tasks, right.free);
  });
  return fits;
}

/// Of the workers from `first` on that hold all missing tasks, the one with the fewest free
/// accelerators.
std::size_t TightestWorkerFrom(const std::vector<WorkerFit>& fits, std::size_t first, int missing) {
  std::size_t best = first;
  for (std::size_t index = first; index < fits.size() && fits[index].tasks >= missing; ++index) {
    if (fits[index].free < fits[best].free) {
      best = index;
    }
  }
  return best;
}

/// Places tasks in one rack and adds the accelerators left free on its chosen workers to the cost.
void FillRack(const Shape& shape, const CapacityMap& capacity, const WorkerRange& rack,
              PlacementChoice& choice) {
  const std::vector<WorkerFit> fits = ComputeWorkerFits(shape, capacity, rack);
  for (std::size_t index = 0; index < fits.size(); ++index) {
    const int before = static_cast<int>(choice.tasks.size());
    const int missing = shape.tasks.value() - before;
    if (missing == 0) {
      return;
    }
    const bool is_last = fits[index].tasks >= missing;
    const WorkerFit& fit = fits[is_last ? TightestWorkerFrom(fits, index, missing) : index];
    FillWorker(*fit.worker, shape, choice.tasks);
    const int placed = static_cast<int>(choice.tasks.size()) - before;
    choice.cost += kWorkerLeftoverCost * (fit.free - placed * shape.accelerators_per_task.value());
  }
}

}  // namespace

std::optional<PlacementChoice> BestFit::FindPlacementInZone(const Shape& shape,
                                                            const CapacityMap& capacity,
                                                            const ZoneRange& zone) const {
  std::vector<RackFit> racks = ComputeRackFits(shape, capacity, zone);
  PlacementChoice choice;
  choice.zone = zone.zone;
  while (static_cast<int>(choice.tasks.size()) < shape.tasks.value()) {
    const int missing = shape.tasks.value() - static_cast<int>(choice.tasks.size());
    RackFit* const rack = ChooseRack(racks, missing);
    if (rack == nullptr) {
      return std::nullopt;
    }
    rack->used = true;
    FillRack(shape, capacity, rack->workers, choice);
    choice.cost += kRackCost + kRackLeftoverCost * rack->free;
  }
  return choice;
}

}  // namespace papayalift
