/// Determines until when the runs of minions may go on, and which process of a minion an order has
/// met. The only place that decides on both.
#pragma once

#include <functional>
#include <optional>

#include "libraries/leader/leader_state.h"
#include "libraries/loop/timers.h"

namespace papayalift {

/// Who granted the lease for which the runs of a minion that does not answer are kept.
enum class LeaseOrigin {
  /// A former leader may have.
  kFormerLeader,
  kThisLeader,
  /// The order was meant for a former process, or sent by a former leader, and may have reached the
  /// minion's process late.
  kLateOrder,
  /// A start was perhaps taken by a process that has not shown itself.
  kUnknownProcess,
};

/// When all leases of a run have certainly expired.
struct LeaseExpiry {
  Milliseconds at{0};
  /// Of the lease that expires last.
  LeaseOrigin origin = LeaseOrigin::kFormerLeader;
};

/// Leases are named as times on the clock of a minion's process, and each process has a clock of
/// its own that starts anew. So it counts which process an order has met:
/// - A run that a report lists is on the process that reports. An answer that shows a clock beyond
///   what a later process can show comes from the process that reported last, and so does whatever
///   is sent over a connection that had such answers.
/// - Any other start may have been taken by a process that this leader does not know, which may
///   have granted it the longest lease.
/// - Orders meant for a former process are barred by the first order with a token above theirs. The
///   first start on a new process has one.
class MinionLeases {
 public:
  struct Settings {
    /// Longest lease that minions grant. No lease extends further than this past the last
    /// confirmation of the term.
    Milliseconds longest_lease{10'000};
  };

  MinionLeases(Timers& timers, LeaderState& state, Settings settings,
               std::function<Milliseconds()> term_confirmed_at,
               std::function<Milliseconds(const MinionId&)> former_leases_end);

  /// The lease that the next start is to name; nullopt if the minion may not be granted one.
  std::optional<MinionTime> NextLeaseOfStart(const TrackedMinion& minion,
                                             Milliseconds usual_lease) const;
  /// The same for the next hold, which names none either if it is not known which process it will
  /// meet. Unlike a start's, its lease would count for all runs of that process.
  std::optional<MinionTime> NextLeaseOfHold(const TrackedMinion& minion,
                                            Milliseconds usual_lease) const;

  /// The token of the next order to the minion.
  FencingToken NextToken(TrackedMinion& minion) const;

  /// Whether the order was refused only because a later one of this leader has a higher token.
  bool IsBarredByOwnToken(const TrackedMinion& minion, FencingToken token) const;

  /// The least that the clock of the process that reported last shows by now.
  MinionTime MinClock(const TrackedMinion& minion) const;

  // What happens to orders and reports, in the order of the events.
  void RecordStartSent(TrackedRun& run) const;
  /// A hold that names a lease was sent, or its answer has not come.
  void RecordHold(TrackedMinion& minion) const;
  /// `meant_for` is the process to which the start was sent. `run` is null if it was resolved
  /// before.
  void RecordStartAnswer(TrackedMinion& minion, TrackedRun* run, const StartOrder& order,
                         MinionIncarnation meant_for, const OrderAnswer& answer) const;
  void RecordStopAnswer(TrackedMinion& minion, const OrderAnswer& answer) const;
  /// A report of the minion was received. `is_new_process` if its process has not reported in this
  /// term.
  void RecordReport(TrackedMinion& minion, Milliseconds sent_at, FencingToken token,
                    const HoldReport& report, bool is_new_process) const;

  /// When all leases of the run have certainly expired, if its minion does not answer until then.
  LeaseExpiry ExpiryOf(const TrackedMinion& minion, const TrackedRun& run) const;
  /// Whether they have expired by now. While a start of the run is under way, which may still reach
  /// a process that this leader does not know, they have not.
  bool HaveExpired(const TrackedMinion& minion, const TrackedRun& run) const;
  /// Of that run of the minion for which it is the latest.
  LeaseExpiry LatestExpiryOf(const TrackedMinion& minion) const;

 private:
  bool IsProcessKnown(const TrackedMinion& minion) const;
  /// Whether the answer can only come from the process that reported last.
  bool ShowsKnownProcess(const TrackedMinion& minion, const OrderAnswer& answer) const;
  /// Notes whether the answer, if it is one of a process, shows the known one. Returns whether no
  /// other can have received the order.
  bool CheckReceiver(TrackedMinion& minion, const OrderAnswer& answer) const;
  /// Notes that orders that this leader did not mean for the minion's process may have been carried
  /// out by it until `clock`.
  void AssumeForeignLease(TrackedMinion& minion, MinionTime clock) const;
  /// Another process may have carried out the run's start, or a hold after it, until then.
  void AssumeUnknownProcess(TrackedRun& run, Milliseconds carried_out_by) const;
  Milliseconds Now() const { return m_timers.clock().Now(); }

  Timers& m_timers;
  LeaderState& m_state;
  const Settings m_settings;
  const std::function<Milliseconds()> m_term_confirmed_at;
  const std::function<Milliseconds(const MinionId&)> m_former_leases_end;
};

}  // namespace papayalift
