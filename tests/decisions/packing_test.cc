#include "libraries/decisions/packing.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <vector>

namespace papayalift {

namespace {

/// Tries every position of every task, so that it shares no algorithm, and no fault, with the
/// library.
bool FitsByExhaustiveSearch(const std::vector<Demand>& demands, std::size_t demand, int placed,
                            const ZoneRange* zone, const CapacityMap& capacity) {
  if (demand == demands.size()) {
    return true;
  }
  const Shape& shape = demands[demand].shape;
  if (zone == nullptr) {
    return std::any_of(capacity.zones().begin(), capacity.zones().end(),
                       [&](const ZoneRange& candidate) {
                         return FitsByExhaustiveSearch(demands, demand, 0, &candidate, capacity);
                       });
  }
  if (placed == shape.tasks.value()) {
    return FitsByExhaustiveSearch(demands, demand + 1, 0, nullptr, capacity);
  }
  for (std::size_t position = zone->workers.begin; position < zone->workers.end; ++position) {
    const WorkerCapacity& worker = capacity.workers()[position];
    const int last = worker.worker->accelerators.value() - shape.accelerators_per_task.value();
    for (int start = 0; start <= last; ++start) {
      const AcceleratorSet run = AcceleratorSet::RunAt(start, shape.accelerators_per_task);
      if (worker.free.Contains(run)) {
        CapacityMap rest = capacity;
        rest.Allocate({TaskPlacement{worker.worker->id, run}});
        if (FitsByExhaustiveSearch(demands, demand, placed + 1, zone, rest)) {
          return true;
        }
      }
    }
  }
  return false;
}

struct PackingFixture {
  /// Up to three workers in two zones, some accelerators allocated, and up to three demands.
  static PackingFixture Generate(int largest_task) {
    PackingFixture fixture;
    const int workers = *rc::gen::inRange(1, 4);
    for (int index = 0; index < workers; ++index) {
      WorkerView worker;
      worker.id = WorkerId(fmt::format("worker-{}", index));
      worker.zone = ZoneId(fmt::format("zone-{}", index % 2));
      worker.accelerators = AcceleratorCount(*rc::gen::element(2, 4, 5));
      GangView& gang = fixture.snapshot.gangs.emplace_back();
      const std::uint64_t taken = *rc::gen::inRange(0, 8);
      gang.tasks = {TaskPlacement{worker.id, AcceleratorSet(taken & (taken >> 1))}};
      fixture.snapshot.workers.push_back(worker);
    }
    const int demands = *rc::gen::inRange(1, 4);
    for (int index = 0; index < demands; ++index) {
      fixture.demands.push_back(
          Demand{WorkspaceId("w"),
                 Shape{TaskCount(*rc::gen::inRange(1, 3)),
                       AcceleratorCount(*rc::gen::inRange(1, largest_task + 1))},
                 std::nullopt});
    }
    return fixture;
  }

  Snapshot snapshot;
  std::vector<Demand> demands;
};

}  // namespace

Test(find_packing, any_task_sizes_agrees_with_exhaustive_search) {
  cr_assert(rc::check([] {
    const PackingFixture fixture = PackingFixture::Generate(4);
    const CapacityMap capacity = CapacityMap::FromSnapshot(fixture.snapshot);
    RC_ASSERT(FindPacking(fixture.demands, capacity).has_value() ==
              FitsByExhaustiveSearch(fixture.demands, 0, 0, nullptr, capacity));
  }));
}

Test(find_packing, power_of_two_sizes_agrees_with_exhaustive_search) {
  cr_assert(rc::check([] {
    const PackingFixture fixture = PackingFixture::Generate(2);
    const CapacityMap capacity = CapacityMap::FromSnapshot(fixture.snapshot);
    RC_ASSERT(FindPacking(fixture.demands, capacity).has_value() ==
              FitsByExhaustiveSearch(fixture.demands, 0, 0, nullptr, capacity));
  }));
}

Test(find_packing, first_fit_decreasing_fails_finds_packing) {
  constexpr int kZoneSize = 10;
  Snapshot snapshot;
  for (const char* const name : {"a", "b"}) {
    snapshot.workers.push_back(WorkerView{WorkerId(name), ZoneId(name), RackId(name),
                                          AcceleratorCount(kZoneSize), WorkerHealth::kHealthy});
  }
  std::vector<Demand> demands;
  for (const int tasks : {4, 4, 3, 3, 3, 3}) {
    demands.push_back(
        Demand{WorkspaceId("w"), Shape{TaskCount(tasks), AcceleratorCount(1)}, std::nullopt});
  }
  cr_assert(FindPacking(demands, CapacityMap::FromSnapshot(snapshot)).has_value());
}

Test(find_packing, gang_larger_than_each_zone_returns_none) {
  Snapshot snapshot;
  for (const char* const name : {"a", "b"}) {
    snapshot.workers.push_back(WorkerView{WorkerId(name), ZoneId(name), RackId(name),
                                          AcceleratorCount(4), WorkerHealth::kHealthy});
  }
  const std::vector<Demand> demands{
      Demand{WorkspaceId("w"), Shape{TaskCount(2), AcceleratorCount(4)}, std::nullopt}};
  cr_assert_not(FindPacking(demands, CapacityMap::FromSnapshot(snapshot)).has_value());
}

}  // namespace papayalift
