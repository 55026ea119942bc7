#include "libraries/planner/room_forecast.h"

#include <algorithm>

#include "libraries/planner/placement_search.h"

namespace papayalift {

namespace {

/// The room on some minions as their runs end one by one.
class ForecastSearch {
 public:
  ForecastSearch(const PendingStep& pending, const PlanCapacity& capacity)
      : m_pending(pending), m_capacity(capacity), m_wanted(TasksThatStartTogether(pending)) {}

  std::optional<RoomForecast> Run(const std::vector<std::size_t>& minions) {
    for (const std::size_t index : minions) {
      AddMinion(index);
    }
    std::sort(m_ends.begin(), m_ends.end(),
              [](const End& left, const End& right) { return left.remaining < right.remaining; });
    Milliseconds time{0};
    for (auto end = m_ends.begin(); m_fitting < m_wanted; ++end) {
      if (end == m_ends.end()) {
        return std::nullopt;
      }
      ApplyEnd(*end);
      time = end->remaining;
    }
    return RoomForecast{time, std::move(m_rooms)};
  }

 private:
  struct End {
    Milliseconds remaining{0};
    /// Index into m_rooms.
    std::size_t room = 0;
    Resources freed;
  };

  void AddMinion(std::size_t index) {
    const MinionCapacity& minion = m_capacity.minions()[index];
    if (!IsEligible(m_pending, *minion.minion) ||
        (minion.hold.has_value() && minion.hold->Restrains(m_pending))) {
      return;
    }
    const std::size_t room = m_rooms.size();
    m_rooms.push_back(ForecastRoom{index, minion.free, TasksOn(index, minion.free)});
    m_fitting += m_rooms.back().tasks;
    for (const std::vector<PlanRun>* const runs : {&minion.minion->runs, &minion.started}) {
      for (const PlanRun& run : *runs) {
        m_ends.push_back(End{run.remaining, room, run.needs});
      }
    }
  }

  void ApplyEnd(const End& end) {
    ForecastRoom& room = m_rooms[end.room];
    m_fitting -= room.tasks;
    room.free += end.freed;
    room.tasks = TasksOn(room.minion, room.free);
    m_fitting += room.tasks;
  }

  std::int64_t TasksOn(std::size_t index, const Resources& free) const {
    const std::int64_t slots = TaskSlotsOn(m_pending, m_capacity.minions()[index].minion->id);
    return m_pending.spec.needs.MaxCountIn(free, std::min(m_wanted, slots));
  }

  const PendingStep& m_pending;
  const PlanCapacity& m_capacity;
  const std::int64_t m_wanted;
  std::vector<ForecastRoom> m_rooms;
  std::vector<End> m_ends;
  std::int64_t m_fitting = 0;
};

}  // namespace

std::int64_t TasksThatStartTogether(const PendingStep& pending) {
  return pending.spec.kind == WorkStepKind::kGang
             ? static_cast<std::int64_t>(pending.task_indexes.size())
             : 1;
}

std::optional<RoomForecast> ForecastRoomOn(const PendingStep& pending, const PlanCapacity& capacity,
                                           const std::vector<std::size_t>& minions) {
  return ForecastSearch(pending, capacity).Run(minions);
}

std::optional<Milliseconds> TimeUntilRackFits(const PendingStep& pending,
                                              const PlanCapacity& capacity) {
  const auto forecast = [&pending, &capacity]() -> std::optional<Milliseconds> {
    const std::optional<RoomForecast> room = ForecastRoomOnRack(pending, capacity);
    return room.has_value() ? std::optional(room->time) : std::nullopt;
  };
  if (pending.spec.max_tasks_per_worker > 0) {
    return forecast();
  }
  const RackForecastKey key{pending.service,
                            pending.spec.required_label,
                            pending.spec.data_rack,
                            pending.priority,
                            pending.may_use_avoided,
                            pending.spec.needs.cpu_milli,
                            pending.spec.needs.memory_mb,
                            pending.spec.needs.accelerators,
                            TasksThatStartTogether(pending)};
  const auto known = capacity.rack_forecasts().find(key);
  return known != capacity.rack_forecasts().end()
             ? known->second
             : capacity.rack_forecasts().emplace(key, forecast()).first->second;
}

std::optional<RoomForecast> ForecastRoomOnRack(const PendingStep& pending,
                                               const PlanCapacity& capacity) {
  if (!pending.spec.data_rack.empty()) {
    return ForecastRoomOn(pending, capacity, capacity.OnRack(pending.spec.data_rack));
  }
  std::optional<RoomForecast> soonest;
  for (const auto& [rack, minions] : capacity.racks()) {
    std::optional<RoomForecast> forecast = ForecastRoomOn(pending, capacity, minions);
    if (forecast.has_value() && (!soonest.has_value() || forecast->time < soonest->time)) {
      soonest = std::move(forecast);
    }
  }
  return soonest;
}

}  // namespace papayalift
