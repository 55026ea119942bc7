/// The store lease under which a node stores the withdrawals of jobs.
#pragma once

#include <deque>
#include <functional>
#include <optional>

#include "libraries/loop/timers.h"
#include "libraries/metrics/metrics.h"
#include "libraries/work/store_port.h"

namespace papayalift {

/// Grants leases whose keys are kept for `kWithdrawalLifetime` at least. The store removes them
/// when the lease ends, whichever node leads by then. Withdrawals of a few seconds share a lease,
/// so that many of them cost hardly more calls than one.
class WithdrawalLease {
 public:
  /// A submission may be executed for this long after a cancellation that did not find it: for the
  /// longest budget of a request, and while the store carries out a write late, or a node that
  /// stood still goes on.
  static constexpr Milliseconds kWithdrawalLifetime{90'000};

  WithdrawalLease(Timers& timers, StorePort& store, Metrics& metrics)
      : m_timers(timers), m_store(store), m_metrics(metrics) {}

  /// Calls `callback` with a lease that is new enough, or with none if the store grants none. There
  /// are as many callbacks waiting as withdrawals are admitted.
  void Acquire(std::function<void(std::optional<StoreLease>)> callback);

  /// The store has refused a write under the lease; it is not used again.
  void Drop() { m_lease.reset(); }

  /// Counts a withdrawal as held until its lease ends.
  void RecordHeld();

 private:
  struct Granted {
    StoreLease lease;
    /// When it was requested.
    Milliseconds at{0};
  };

  void OnGranted(Milliseconds sent_at, const LeaseAnswer& answer);
  void ExportHeld();

  Timers& m_timers;
  StorePort& m_store;
  Metrics& m_metrics;
  std::optional<Granted> m_lease;
  std::deque<std::function<void(std::optional<StoreLease>)>> m_waiting;
  /// When the store removes each held withdrawal at the latest.
  std::deque<Milliseconds> m_held_until;
};

}  // namespace papayalift
