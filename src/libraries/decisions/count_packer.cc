#include "libraries/decisions/count_packer.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace papayalift {

namespace {

/// Number of zones tried before the search gives up.
constexpr int kMaxSteps = 20'000;

bool IsPlacedBefore(const Demand& left, const Demand& right) {
  const std::size_t left_zone = left.required_zone.value_or(SIZE_MAX);
  const std::size_t right_zone = right.required_zone.value_or(SIZE_MAX);
  if (left_zone != right_zone) {
    return left_zone < right_zone;
  }
  return std::tuple(left.shape.accelerators_per_task, left.shape.tasks) >
         std::tuple(right.shape.accelerators_per_task, right.shape.tasks);
}

}  // namespace

CountPacker::CountPacker(const std::vector<Demand>& demands,
                         std::vector<ZoneTaskCapacity> capacities)
    : m_demands(demands),
      m_capacities(std::move(capacities)),
      m_order(demands.size()),
      m_packing(demands.size()) {
  std::iota(m_order.begin(), m_order.end(), std::size_t{0});
  std::stable_sort(m_order.begin(), m_order.end(), [&demands](std::size_t left, std::size_t right) {
    return IsPlacedBefore(demands[left], demands[right]);
  });
}

std::optional<Packing> CountPacker::Pack() {
  const bool packed = FitsMergedZones() && PlaceDemand(0);
  return packed ? std::optional<Packing>(m_packing) : std::nullopt;
}

bool CountPacker::FitsMergedZones() const {
  ZoneTaskCapacity all;
  for (const ZoneTaskCapacity& capacity : m_capacities) {
    all.Add(capacity);
  }
  return std::all_of(m_demands.begin(), m_demands.end(), [&all](const Demand& demand) {
    const bool fits = all.Fits(demand.shape);
    all.Allocate(demand.shape);
    return fits;
  });
}

bool CountPacker::PlaceDemand(std::size_t rank) {
  if (rank == m_order.size()) {
    return true;
  }
  const std::optional<std::size_t>& required_zone = m_demands[m_order[rank]].required_zone;
  if (required_zone) {
    return PlaceDemandIn(rank, *required_zone);
  }
  for (std::size_t zone = FirstZoneFor(rank); zone < m_capacities.size(); ++zone) {
    if (PlaceDemandIn(rank, zone)) {
      return true;
    }
  }
  return false;
}

bool CountPacker::PlaceDemandIn(std::size_t rank, std::size_t zone) {
  const Shape& shape = m_demands[m_order[rank]].shape;
  if (++m_steps > kMaxSteps || !m_capacities[zone].Fits(shape)) {
    return false;
  }
  m_capacities[zone].Allocate(shape);
  m_packing[m_order[rank]] = zone;
  if (PlaceDemand(rank + 1)) {
    return true;
  }
  m_capacities[zone].Release(shape);
  return false;
}

std::size_t CountPacker::FirstZoneFor(std::size_t rank) const {
  if (rank == 0) {
    return 0;
  }
  const Demand& previous = m_demands[m_order[rank - 1]];
  const bool equal = !previous.required_zone && previous.shape == m_demands[m_order[rank]].shape;
  return equal ? m_packing[m_order[rank - 1]] : 0;
}

}  // namespace papayalift
