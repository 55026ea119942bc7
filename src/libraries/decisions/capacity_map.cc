#include "libraries/decisions/capacity_map.h"

#include <algorithm>
#include <string_view>
#include <tuple>

#include "absl/container/flat_hash_map.h"

namespace papayalift {

struct CapacityMap::Index {
  absl::flat_hash_map<std::string_view, std::size_t> positions;
  std::vector<ZoneRange> zones;
};

namespace {

/// Assigns indexes to names in the order of first appearance, so that sorting compares no strings.
class NameIndex {
 public:
  std::size_t IndexOf(const std::string& name) {
    return m_indexes.try_emplace(name, m_indexes.size()).first->second;
  }

 private:
  absl::flat_hash_map<std::string_view, std::size_t> m_indexes;
};

struct SortedWorker {
  std::size_t zone = 0;
  std::size_t rack = 0;
  const WorkerView* worker = nullptr;
};

std::vector<SortedWorker> SortWorkers(const Snapshot& snapshot) {
  NameIndex zones;
  NameIndex racks;
  std::vector<SortedWorker> sorted;
  sorted.reserve(snapshot.workers.size());
  for (const WorkerView& worker : snapshot.workers) {
    const bool in_service = worker.health == WorkerHealth::kHealthy &&
                            snapshot.zones.StateOf(worker.zone) == ZoneState::kIn;
    if (in_service) {
      sorted.push_back(
          {zones.IndexOf(worker.zone.text()), racks.IndexOf(worker.rack.text()), &worker});
    }
  }
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const SortedWorker& left, const SortedWorker& right) {
                     return std::tie(left.zone, left.rack) < std::tie(right.zone, right.rack);
                   });
  return sorted;
}

void AppendToRanges(const SortedWorker& entry, const SortedWorker* previous, std::size_t position,
                    std::vector<ZoneRange>& zones) {
  const bool new_zone = previous == nullptr || previous->zone != entry.zone;
  if (new_zone) {
    zones.push_back(ZoneRange{entry.worker->zone, {position, position}, {}});
  }
  ZoneRange& zone = zones.back();
  if (new_zone || previous->rack != entry.rack) {
    zone.racks.push_back({position, position});
  }
  zone.workers.end = position + 1;
  zone.racks.back().end = position + 1;
}

}  // namespace

CapacityMap CapacityMap::WithoutGangs(const Snapshot& snapshot) {
  const std::vector<SortedWorker> sorted = SortWorkers(snapshot);
  const std::shared_ptr<Index> index = std::make_shared<Index>();
  CapacityMap map;
  map.m_workers.reserve(sorted.size());
  index->positions.reserve(sorted.size());
  const SortedWorker* previous = nullptr;
  for (const SortedWorker& entry : sorted) {
    const std::size_t position = map.m_workers.size();
    map.m_workers.push_back({entry.worker, AcceleratorSet::First(entry.worker->accelerators)});
    index->positions[entry.worker->id.text()] = position;
    AppendToRanges(entry, previous, position, index->zones);
    previous = &entry;
  }
  map.m_index = index;
  return map;
}

CapacityMap CapacityMap::FromSnapshot(const Snapshot& snapshot) {
  CapacityMap map = WithoutGangs(snapshot);
  for (const GangView& gang : snapshot.gangs) {
    map.Allocate(gang.tasks);
  }
  return map;
}

void CapacityMap::Allocate(const std::vector<TaskPlacement>& tasks) {
  for (const TaskPlacement& task : tasks) {
    const auto found = m_index->positions.find(task.worker.text());
    if (found != m_index->positions.end()) {
      WorkerCapacity& capacity = m_workers[found->second];
      capacity.free = capacity.free.Without(task.accelerators);
    }
  }
}

void CapacityMap::Release(const std::vector<TaskPlacement>& tasks) {
  for (const TaskPlacement& task : tasks) {
    const auto found = m_index->positions.find(task.worker.text());
    if (found != m_index->positions.end()) {
      WorkerCapacity& capacity = m_workers[found->second];
      capacity.free = capacity.free.Union(task.accelerators);
    }
  }
}

void CapacityMap::AllocateAll(const ZoneRange& zone) {
  for (std::size_t position = zone.workers.begin; position < zone.workers.end; ++position) {
    m_workers[position].free = AcceleratorSet();
  }
}

CapacityMap CapacityMap::IntersectWith(const CapacityMap& other) const {
  CapacityMap intersection = *this;
  for (std::size_t position = 0; position < m_workers.size(); ++position) {
    AcceleratorSet& free = intersection.m_workers[position].free;
    free = free.Without(free.Without(other.m_workers[position].free));
  }
  return intersection;
}

bool CapacityMap::IsFree(const std::vector<TaskPlacement>& tasks) const {
  return std::all_of(tasks.begin(), tasks.end(), [this](const TaskPlacement& task) {
    const WorkerCapacity* const capacity = Find(task.worker);
    return capacity != nullptr && capacity->free.Contains(task.accelerators);
  });
}

std::optional<std::size_t> CapacityMap::PositionOf(const WorkerId& worker) const {
  const auto found = m_index->positions.find(worker.text());
  return found == m_index->positions.end() ? std::nullopt
                                           : std::optional<std::size_t>(found->second);
}

const WorkerCapacity* CapacityMap::Find(const WorkerId& worker) const {
  const std::optional<std::size_t> position = PositionOf(worker);
  return position ? &m_workers[*position] : nullptr;
}

const std::vector<ZoneRange>& CapacityMap::zones() const { return m_index->zones; }

}  // namespace papayalift
