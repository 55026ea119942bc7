/// Starts and stops runs on minions, renews the minions' leases, and determines the outcome of each
/// run from their reports.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "libraries/leader/leader_state.h"
#include "libraries/leader/minion_leases.h"
#include "libraries/loop/timers.h"
#include "libraries/work/minion_port.h"

namespace papayalift {

/// Why a run is given up although its minion has not reported its end.
enum class RunLoss {
  /// The run has certainly not started.
  kNeverStarted,
  /// The minion no longer has the run, or its lease has certainly expired.
  kRunLost,
};

struct SupervisorCallbacks {
  /// Why the run must not be started on its minion, by what is known now; nullopt if it may.
  std::function<std::optional<std::string>(const TrackedRun&)> obstacle_to_start;
  /// A minion reported the end of a run; its resources are released. Also called for unknown runs.
  std::function<void(const MinionId&, const EndedRun&)> on_ended;
  /// The run was given up and its resources are released.
  std::function<void(const TrackedRun&, RunLoss, const std::string& reason)> on_lost;
  /// A minion confirmed for the first time in this term that it has the run.
  std::function<void(const TrackedRun&)> on_started;
  /// A minion's report lists the run as active.
  std::function<void(TrackedRun&, const ActiveRun&)> on_active;
  /// A minion rejected an order because it has seen a higher fencing token.
  std::function<void()> on_fenced;
  /// When all leases that former leaders granted to the minion have expired.
  std::function<Milliseconds(const MinionId&)> former_leases_end;
  /// All minions with runs at the beginning of the term have answered in it, or failed to.
  std::function<void()> on_all_asked;
  /// A call to a minion with runs was not answered.
  std::function<void(const MinionId&)> on_silent;
  /// A minion that may be listed as silent has reported.
  std::function<void(const MinionId&)> on_heard;
  /// The first report of a minion, or of its new incarnation, was received in this term.
  std::function<void()> on_capacity_added;
};

struct SupervisorSettings {
  /// Longest lease that minions grant. No lease extends further than this past the last
  /// confirmation of the term.
  Milliseconds longest_lease{10'000};
  /// Lease while the term is being confirmed. The runs of a minion that is gone start again
  /// elsewhere once its lease has expired, so a shorter one gets them done sooner. While the store
  /// is away, leases extend as far as allowed instead, so that running work outlasts the outage.
  Milliseconds usual_lease{5'500};
  /// Lease of a start order. The report that follows its answer extends it.
  Milliseconds start_lease{3'500};
  /// How long a hold call waits at the minion for a run to end.
  Milliseconds hold_wait{2'000};
};

class RunSupervisor : public std::enable_shared_from_this<RunSupervisor> {
 public:
  RunSupervisor(Timers& timers, MinionPort& minions, LeaderState& state,
                SupervisorSettings settings, std::function<Milliseconds()> term_confirmed_at,
                SupervisorCallbacks callbacks);

  /// Sends the start of a run whose placement is stored.
  void Start(TrackedRun& run, const std::string& payload, const std::string& checkpoint);

  /// Stops the run, also if the outcome of its start is not known yet.
  void Stop(TrackedRun& run, const std::string& reason);

  /// Sends a hold call, which renews the lease, acknowledges ends and requests a report. If one is
  /// in flight, sends another only if it is in doubt which process has taken a start.
  void RequestHold(TrackedMinion& minion);

  /// Minions with runs at the beginning of the term that have not reported in it yet.
  const std::set<MinionId>& awaited_reports() const { return m_awaited_reports; }

  /// Requests the first report of this term from every minion that is registered or has runs, a
  /// bounded number at a time: those with runs first, since their leases expire.
  void RequestFirstReports();

  /// Gives up the runs of minions whose lease has certainly expired, or whose process has certainly
  /// ended.
  void GiveUpLostRuns();

  /// Within which time all leases of the minion have expired; nullopt if it has answered the last
  /// call, has no runs, or a start is under way to it. The outcome of that is followed by
  /// on_silent.
  std::optional<Milliseconds> LeasesLeft(const MinionId& id) const;

  void Close() { m_is_closed = true; }

 private:
  using Self = std::shared_ptr<RunSupervisor>;

  /// A hold call in flight.
  struct SentHold {
    Milliseconds at{0};
    FencingToken token;
    bool names_lease = false;
    /// How many reports had been received by then.
    int reports_before = 0;
    /// TrackedMinion::hold_number; that of a call beside it is 0.
    int number = 0;
    /// It acknowledges ends, and only the process that has reported them can receive it.
    bool is_bound = false;
  };

  void SendStart(const TaskName& task, const MinionId& minion, AttemptNumber attempt,
                 const std::string& payload, const std::string& checkpoint);
  std::optional<std::string> ObstacleToStart(const TrackedRun& run) const;
  void HoldBackStart(TrackedRun& run, const std::string& reason);
  /// Sends the same order again after a short delay, unless the run's state is known by then.
  void RepeatStartLater(const StartOrder& order, const MinionId& minion);
  void OnStartAnswer(const StartOrder& order, const MinionId& minion, const OrderAnswer& answer);
  void SendStop(const TaskName& task, const MinionId& minion, AttemptNumber attempt);
  void OnStopAnswer(const StopOrder& order, const MinionId& minion, const OrderAnswer& answer);
  void SendStopLater(const TaskName& task, const MinionId& minion, AttemptNumber attempt);
  void SendHold(TrackedMinion& minion);
  /// Requests a report at once, beside a hold call that waits.
  void SendLook(TrackedMinion& minion);
  void OnLookAnswer(const MinionId& id, const SentHold& sent, const HoldAnswer& answer);
  void RequestHoldLater(TrackedMinion& minion, Milliseconds delay);
  void RequestNextFirstReports();
  void OnHoldAnswer(const MinionId& id, const SentHold& sent, const HoldAnswer& answer);
  void RecordOutcome(const MinionId& id);
  void OnHoldFailed(TrackedMinion& minion, const HoldAnswer& answer);
  /// No connection to the process that has reported the ends is kept.
  void OnAcknowledgementNotSent(TrackedMinion& minion);
  /// A minion has refused an order with the token. Steps down if another leader has given it a
  /// higher one; returns false if it was this leader.
  bool StepDownIfSuperseded(const TrackedMinion& minion, FencingToken token) const;
  void OnReport(TrackedMinion& minion, const SentHold& sent, const HoldAnswer& answer);
  /// `asked_at`: a time at which the process that sent the report has certainly run.
  void ProcessReport(TrackedMinion& minion, Milliseconds asked_at, const SentHold& sent,
                     const HoldReport& report);
  void UpdateIncarnation(TrackedMinion& minion, MinionIncarnation incarnation);
  void ProcessEndedRuns(const MinionId& id, const HoldReport& report);
  void ProcessActiveRuns(TrackedMinion& minion, const HoldReport& report);
  void StopStrayRun(TrackedMinion& minion, const ActiveRun& active);
  void ResolveMissingRuns(TrackedMinion& minion, Milliseconds sent_at, const HoldReport& report);
  void LoseRun(const MinionId& minion, const TaskName& task, RunLoss loss,
               const std::string& reason);
  void GiveUpLostRunsOf(TrackedMinion& minion);
  void GiveUpOnceExpired(TrackedMinion& minion);
  /// Looks again soon if a lease has expired, but not all that arrived by then has been handled.
  void GiveUpOnceHeard(TrackedMinion& minion);
  /// Why the run can't be active any more although its minion has not reported its end; nullptr if
  /// it may be.
  const char* ReasonToGiveUp(const TrackedMinion& minion, const TrackedRun& run) const;
  bool NeedsHold(const TrackedMinion& minion) const;
  void RecordFailedCall(TrackedMinion& minion, const char* call, OrderResult result,
                        const std::string& detail);
  void LogFirstFailedCall(const TrackedMinion& minion, const char* call, OrderResult result,
                          const std::string& detail) const;
  /// What a start's answer says of the process that it met.
  void LogStartAnswer(const TrackedMinion& minion, const TrackedRun& run,
                      const OrderAnswer& answer) const;
  void LogSilence(const TrackedMinion& minion, const std::string& detail) const;
  static void RecordAnswer(TrackedMinion& minion);
  TrackedRun* FindRun(const TaskName& task, const MinionId& minion, AttemptNumber attempt);
  Milliseconds Now() const { return m_timers.clock().Now(); }

  Timers& m_timers;
  MinionPort& m_minions;
  LeaderState& m_state;
  const SupervisorSettings m_settings;
  const std::function<Milliseconds()> m_term_confirmed_at;
  const SupervisorCallbacks m_callbacks;
  const MinionLeases m_leases;
  bool m_is_closed = false;
  /// Minions whose first report is still to be requested.
  std::deque<MinionId> m_first_report_queue;
  std::set<MinionId> m_first_reports_in_flight;
  std::set<MinionId> m_awaited_reports;
  /// Those of them whose first call has no outcome yet.
  std::set<MinionId> m_awaited_outcomes;
};

}  // namespace papayalift
