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
/// - Only reports name their process. A run that a report lists is on the process that reports.
/// - A process that reports has received all orders that were answered or failed before the report
///   was asked for, unless an earlier process has. So has it whatever is sent over a connection
///   that was established before that, since no connection outlives its process.
/// - Any other start may have been taken by a process that this leader does not know, which may
///   have granted it the longest lease. Ids, addresses and clocks show no process: each process's
///   clock begins at any figure.
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
  void RecordStartSent(TrackedMinion& minion, TrackedRun& run) const;
  /// A hold that names a lease was sent, or its answer has not come.
  void RecordHold(TrackedMinion& minion) const;
  /// `meant_for` is the process to which the start was sent. `run` is null if it was resolved
  /// before.
  void RecordStartAnswer(TrackedMinion& minion, TrackedRun* run, const StartOrder& order,
                         MinionIncarnation meant_for, const OrderAnswer& answer) const;
  /// Whether a report may be older than one that was received before it. `reports_before`: how many
  /// had been received when it was asked for.
  static bool IsOutdated(const TrackedMinion& minion, int reports_before, const HoldReport& report);
  /// A report of the minion was received. `asked_at`: a time at which its process has certainly
  /// run. `is_new_process` if its process has not reported in this term.
  void RecordReport(TrackedMinion& minion, Milliseconds asked_at, FencingToken token,
                    const HoldReport& report, bool is_new_process) const;

  /// When all leases of the run have certainly expired, if its minion does not answer until then.
  /// Starts that are under way are not counted.
  LeaseExpiry ExpiryOf(const TrackedMinion& minion, const TrackedRun& run) const;
  /// Whether they have expired by now. While a start of the run is under way, which may still reach
  /// a process that this leader does not know, they have not.
  bool HaveExpired(const TrackedMinion& minion, const TrackedRun& run) const;
  /// Whether it is known when the leases of its runs expire: no start is under way.
  static bool IsBounded(const TrackedMinion& minion);
  /// Of that run of the minion for which it is the latest.
  LeaseExpiry LatestExpiryOf(const TrackedMinion& minion) const;

 private:
  bool IsProcessKnown(const TrackedMinion& minion) const;
  /// Whether a report has listed the run, and only one start of it was sent.
  static bool IsOnlyCopyShown(const TrackedRun& run);
  /// Whether a start of the run is under way that may reach another process than the known one.
  static bool HasOpenStart(const TrackedRun& run);
  /// Whether no later process than the one that reported last can have received the order.
  static bool HasMetKnownProcess(const TrackedMinion& minion, const OrderAnswer& answer);
  /// Takes what the answer of the known process tells of its clock.
  void RecordClock(TrackedMinion& minion, const StartOrder& order, const OrderAnswer& answer) const;
  /// Notes that orders that this leader did not mean for the minion's process may have been carried
  /// out by it until `clock`.
  void AssumeForeignLease(TrackedMinion& minion, MinionTime clock) const;
  /// Another process may have carried out the run's start, or a later order that names a lease,
  /// until then.
  void AssumeUnknownProcess(TrackedRun& run, Milliseconds carried_out_by) const;
  /// The same for all runs of the minion of which it is not known which process has them.
  void ExtendUnknownProcesses(TrackedMinion& minion, Milliseconds carried_out_by) const;
  Milliseconds Now() const { return m_timers.clock().Now(); }

  Timers& m_timers;
  LeaderState& m_state;
  const Settings m_settings;
  const std::function<Milliseconds()> m_term_confirmed_at;
  const std::function<Milliseconds(const MinionId&)> m_former_leases_end;
};

}  // namespace papayalift
