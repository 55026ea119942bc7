#include "libraries/decisions/count_packer.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace papayalift {

namespace {

/// Zones tried before the search gives up.
constexpr int kMostSteps = 20'000;

bool ComesFirst(const Demand& left, const Demand& right) {
  const std::size_t left_zone = left.only_zone.value_or(SIZE_MAX);
  const std::size_t right_zone = right.only_zone.value_or(SIZE_MAX);
  if (left_zone != right_zone) {
    return left_zone < right_zone;
  }
  return std::tuple(left.shape.accelerators_per_task, left.shape.tasks) >
         std::tuple(right.shape.accelerators_per_task, right.shape.tasks);
}

}  // namespace

CountPacker::CountPacker(const std::vector<Demand>& demands, std::vector<ZoneRoom> rooms)
    : m_demands(demands),
      m_rooms(std::move(rooms)),
      m_ranks(demands.size()),
      m_packing(demands.size()) {
  std::iota(m_ranks.begin(), m_ranks.end(), std::size_t{0});
  std::stable_sort(m_ranks.begin(), m_ranks.end(), [&demands](std::size_t left, std::size_t right) {
    return ComesFirst(demands[left], demands[right]);
  });
}

std::optional<Packing> CountPacker::Run() {
  const bool packed = FitsAsOneZone() && Place(0);
  return packed ? std::optional<Packing>(m_packing) : std::nullopt;
}

bool CountPacker::FitsAsOneZone() const {
  ZoneRoom all;
  for (const ZoneRoom& room : m_rooms) {
    all.Add(room);
  }
  return std::all_of(m_demands.begin(), m_demands.end(), [&all](const Demand& demand) {
    const bool holds = all.Holds(demand.shape);
    all.Take(demand.shape);
    return holds;
  });
}

bool CountPacker::Place(std::size_t rank) {
  if (rank == m_ranks.size()) {
    return true;
  }
  const std::optional<std::size_t>& only_zone = m_demands[m_ranks[rank]].only_zone;
  if (only_zone) {
    return PlaceIn(rank, *only_zone);
  }
  for (std::size_t zone = FirstZoneFor(rank); zone < m_rooms.size(); ++zone) {
    if (PlaceIn(rank, zone)) {
      return true;
    }
  }
  return false;
}

bool CountPacker::PlaceIn(std::size_t rank, std::size_t zone) {
  const Shape& shape = m_demands[m_ranks[rank]].shape;
  if (++m_steps > kMostSteps || !m_rooms[zone].Holds(shape)) {
    return false;
  }
  m_rooms[zone].Take(shape);
  m_packing[m_ranks[rank]] = zone;
  if (Place(rank + 1)) {
    return true;
  }
  m_rooms[zone].GiveBack(shape);
  return false;
}

std::size_t CountPacker::FirstZoneFor(std::size_t rank) const {
  if (rank == 0) {
    return 0;
  }
  const Demand& previous = m_demands[m_ranks[rank - 1]];
  const bool equal = !previous.only_zone && previous.shape == m_demands[m_ranks[rank]].shape;
  return equal ? m_packing[m_ranks[rank - 1]] : 0;
}

}  // namespace papayalift
