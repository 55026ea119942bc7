/// Second stage of a pass: the jobs that GuaranteeStage left undecided, in the policy's order.
#pragma once

#include <array>
#include <optional>
#include <vector>

#include "libraries/decisions/pass_state.h"
#include "libraries/decisions/reservation.h"

namespace papayalift {

class QueueStage {
 public:
  explicit QueueStage(PassState& state);

  void Run(const std::vector<const WaitingJob*>& order);

 private:
  /// Whether a job may use capacity that is reserved for another.
  enum class CapacityScope { kAll, kOutsideReservation };
  static constexpr std::size_t kScopeCount = 2;

  void ScheduleJob(const WaitingJob& job);
  bool StartAsCanary(const WaitingJob& job);
  std::optional<PlacementChoice> ChoosePlacement(const WaitingJob& job);
  CapacityScope ScopeFor(const WaitingJob& job) const;
  void Start(const WaitingJob& job, const PlacementChoice& choice);
  void WaitForCapacity(const WaitingJob& job);
  void Reserve(const WaitingJob& job);
  std::optional<Reservation> FindReservationFor(const WaitingJob& job);
  /// Stops long-running borrowed gangs for a job that has waited too long.
  std::optional<Reservation> PreemptLongRunning(const WaitingJob& job);

  PassState& m_state;
  /// Idle workers on probation; each gets one canary.
  std::vector<const WorkerView*> m_canary_workers;
  std::optional<Reservation> m_reservation;
  /// Free and not reserved; only maintained once there is a reservation.
  CapacityMap m_unreserved;
  /// Shapes that did not fit in this pass, by scope. Free capacity only shrinks during a pass, so
  /// shapes that are at least as large won't fit either.
  std::array<std::vector<Shape>, kScopeCount> m_unplaceable;
  /// Shapes that no zone could hold even without its gangs.
  std::vector<Shape> m_unreservable;
  bool m_queue_blocked = false;
};

}  // namespace papayalift
