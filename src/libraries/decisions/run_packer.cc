#include "libraries/decisions/run_packer.h"

#include <algorithm>
#include <numeric>

#include "libraries/decisions/run_lengths.h"

namespace papayalift {

namespace {

/// Number of runs tried before the search gives up.
constexpr int kMaxSteps = 100'000;

std::vector<int> CountFreeRuns(const CapacityMap& capacity, const ZoneRange& zone) {
  std::vector<int> runs(AcceleratorSet::kMaxWorkerAccelerators + 1);
  for (std::size_t position = zone.workers.begin; position < zone.workers.end; ++position) {
    VisitRunLengths(capacity.workers()[position].free,
                    [&runs](int length) { ++runs[static_cast<std::size_t>(length)]; });
  }
  return runs;
}

}  // namespace

RunPacker::RunPacker(const std::vector<Demand>& demands, const CapacityMap& capacity)
    : m_demands(demands), m_order(demands.size()), m_packing(demands.size()) {
  for (const ZoneRange& zone : capacity.zones()) {
    m_free_runs.push_back(CountFreeRuns(capacity, zone));
  }
  std::iota(m_order.begin(), m_order.end(), std::size_t{0});
  std::stable_sort(m_order.begin(), m_order.end(), [&demands](std::size_t left, std::size_t right) {
    return demands[left].shape.accelerators_per_task > demands[right].shape.accelerators_per_task;
  });
}

std::optional<Packing> RunPacker::Pack() {
  return PlaceDemand(0) ? std::optional<Packing>(m_packing) : std::nullopt;
}

bool RunPacker::PlaceDemand(std::size_t rank) {
  if (rank == m_order.size()) {
    return true;
  }
  const Demand& demand = m_demands[m_order[rank]];
  for (std::size_t zone = 0; zone < m_free_runs.size(); ++zone) {
    const bool allowed = !demand.required_zone || *demand.required_zone == zone;
    m_packing[m_order[rank]] = zone;
    if (allowed && PlaceTasks(rank, zone, demand.shape.tasks.value())) {
      return true;
    }
  }
  return false;
}

// NOTE: The recursion is as deep as the number of tasks in all demands, which the bundle bounds.
bool RunPacker::PlaceTasks(std::size_t rank, std::size_t zone, int missing) {
  if (missing == 0) {
    return PlaceDemand(rank + 1);
  }
  const std::size_t size =
      static_cast<std::size_t>(m_demands[m_order[rank]].shape.accelerators_per_task.value());
  std::vector<int>& runs = m_free_runs[zone];
  for (std::size_t length = size; length < runs.size(); ++length) {
    if (runs[length] == 0) {
      continue;
    }
    if (++m_steps > kMaxSteps) {
      return false;
    }
    --runs[length];
    ++runs[length - size];
    if (PlaceTasks(rank, zone, missing - 1)) {
      return true;
    }
    ++runs[length];
    --runs[length - size];
  }
  return false;
}

}  // namespace papayalift
