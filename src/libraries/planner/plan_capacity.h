/// Tracks the available capacity of all minions during one planning pass.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "libraries/planner/plan_snapshot.h"

namespace papayalift {

/// How long a job with nothing running waits beside room that a preference or another job keeps.
constexpr Milliseconds kMaxWaitBesideRoom{1'000};

/// Room on a minion that is kept for members of a gang that has waited.
struct CapacityHold {
  JobId job;
  int step = 0;
  Priority priority;
  /// Until the gang is expected to start.
  Milliseconds starts_in{0};
  /// What is left at that time beside the members.
  Resources spare;
  /// Less than half of the service is in use, so no job is left with nothing running for the gang.
  bool yields_to_idle_jobs = false;

  /// Whether the step has to leave the room: it is not the gang, nor of higher priority, nor within
  /// its guarantee.
  bool Restrains(const PendingStep& pending) const;
  /// Whether a task that starts now is expected to end well before the gang starts.
  bool EndsBefore(Milliseconds estimate) const;
};

/// The lesser of each kind of resource.
Resources Least(const Resources& left, const Resources& right);

struct MinionCapacity {
  const PlanMinion* minion = nullptr;
  /// Available at once.
  Resources free;
  /// The same, if nothing were reserved in this pass.
  Resources free_without_reservations;
  /// Available once all runs that are being stopped have ended.
  Resources free_after_stops;
  /// Available if all victims of lower priority were stopped as well.
  Resources free_after_reclaim;
  /// Indexes of the snapshot's victims with runs on this minion, in ascending order.
  std::vector<std::size_t> victims;
  /// Nothing runs or is placed on the minion.
  bool is_idle = false;
  /// Tasks that this pass starts on the minion.
  std::vector<PlanRun> started;
  std::optional<CapacityHold> hold;
};

/// What the expected time of room on a preferred rack depends on: service, label, rack, priority,
/// use of avoided minions, processor, memory, accelerators, and how many tasks start together.
using RackForecastKey = std::tuple<ServiceId, std::string, RackId, Priority, bool, std::int64_t,
                                   std::int64_t, std::int64_t, std::int64_t>;
using RackForecasts = std::map<RackForecastKey, std::optional<Milliseconds>>;

/// The member of MinionCapacity that a search uses.
using CapacityMember = Resources MinionCapacity::*;

class PlanCapacity {
 public:
  explicit PlanCapacity(const PlanSnapshot& snapshot);

  const std::vector<MinionCapacity>& minions() const { return m_minions; }
  MinionCapacity* Find(const MinionId& id);
  /// The capacity of a minion of the snapshot.
  const MinionCapacity& CapacityOf(const MinionId& id) const {
    return m_minions[m_index_by_minion.at(id)];
  }

  /// Allocates capacity to a task that starts now and is expected to take as long as `estimate`.
  void Allocate(const MinionId& id, const Resources& needs, Milliseconds estimate);
  /// Makes all free capacity of a minion unavailable.
  void Occupy(const MinionId& id);
  /// Keeps room on the minion, an index into minions(), for a gang.
  void Hold(std::size_t minion, const CapacityHold& hold);
  /// The step needs its holds no more.
  void ReleaseHolds(const PendingStep& pending);
  /// Reserves all free capacity of a minion, so that one without runs becomes available.
  void ReserveMinion(const MinionId& id);
  /// Reserves capacity for a task that starts once others have ended.
  void Reserve(const MinionId& id, const Resources& needs);
  /// Adds the resources of a run that this pass stops.
  void AddBeingFreed(const MinionId& id, const Resources& freed);

  /// The minions of one rack, as indexes into minions() in ascending order.
  const std::vector<std::size_t>& OnRack(const RackId& rack) const;
  /// All minions, as indexes into minions() in ascending order.
  const std::vector<std::size_t>& everywhere() const { return m_everywhere; }
  /// The racks that have minions, ordered by id.
  const std::map<RackId, std::vector<std::size_t>>& racks() const { return m_racks; }
  /// Indexes into minions() of a victim's placements; placements on other minions are left out.
  const std::vector<std::size_t>& MinionsOfVictim(std::size_t victim) const {
    return m_minions_of_victims[victim];
  }
  /// Whether less than half of the service's capacity, in weighted cores, was in use when the pass
  /// began.
  bool HasSpareCapacity(const ServiceId& service) const;
  /// All capacity of the service's usable minions, in weighted cores.
  double WeightedCapacityOf(const ServiceId& service) const;
  /// Forecasts that were made in this pass.
  RackForecasts& rack_forecasts() const { return m_rack_forecasts; }
  /// Whether the service has fast minions that are kept for steps that need them.
  bool HasFastMinions(const ServiceId& service) const {
    return m_services_with_fast_minions.contains(service);
  }
  /// Whether capacity was reserved in this pass.
  bool has_reservations() const { return m_has_reservations; }
  /// Accelerators available at once, on all minions together.
  std::int64_t free_accelerators() const { return m_free_accelerators; }

 private:
  /// Capacity and use of one service when the pass began, in weighted cores.
  struct ServiceLoad {
    double capacity = 0;
    double used = 0;
  };

  static void Take(MinionCapacity& capacity, const Resources& needs);

  std::vector<MinionCapacity> m_minions;
  std::vector<std::size_t> m_everywhere;
  std::map<MinionId, std::size_t> m_index_by_minion;
  std::map<RackId, std::vector<std::size_t>> m_racks;
  std::vector<std::vector<std::size_t>> m_minions_of_victims;
  std::int64_t m_free_accelerators = 0;
  std::map<ServiceId, ServiceLoad> m_loads;
  mutable RackForecasts m_rack_forecasts;
  std::set<ServiceId> m_services_with_fast_minions;
  bool m_has_reservations = false;
};

}  // namespace papayalift
