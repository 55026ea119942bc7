/// Orders runs on minions, keeps their leases, and learns from their reports what became of each
/// run.
#pragma once

#include <functional>
#include <memory>

#include "libraries/leader/leader_state.h"
#include "libraries/loop/timers.h"
#include "libraries/work/minion_port.h"

namespace papayalift {

/// Why a run is over without an end that its minion listed.
enum class RunLoss {
  /// It surely never started.
  kNeverStarted,
  /// The minion has a new life, or its lease has surely run out.
  kMinionLost,
};

struct SupervisorCallbacks {
  /// A minion listed an end; the run's room is free. Called for unknown runs as well.
  std::function<void(const MinionId&, const EndedRun&)> on_ended;
  /// The run is gone and its room is free.
  std::function<void(const TrackedRun&, RunLoss, const std::string& reason)> on_lost;
  /// A minion has it for the first time that this leader knows of.
  std::function<void(const TrackedRun&)> on_started;
  /// The minion reported it at work.
  std::function<void(TrackedRun&, const ActiveRun&)> on_active;
  /// A minion has seen a higher token.
  std::function<void()> on_fenced;
  /// A minion answered this term for the first time, or became usable otherwise.
  std::function<void()> on_capacity_added;
};

struct SupervisorSettings {
  /// Longest lease that minions grant, and how far past the term's confirmation it may reach.
  Milliseconds longest_lease{10'000};
  /// How long a report waits for an end.
  Milliseconds hold_wait{2'000};
};

class RunSupervisor : public std::enable_shared_from_this<RunSupervisor> {
 public:
  RunSupervisor(Timers& timers, MinionPort& minions, LeaderState& state,
                SupervisorSettings settings, std::function<Milliseconds()> term_confirmed_at,
                SupervisorCallbacks callbacks);

  /// Orders a run whose placement is stored.
  void Start(TrackedRun& run, const std::string& payload, const std::string& checkpoint);

  /// Sees to it that the run ends; also before its start is settled.
  void Stop(TrackedRun& run, const std::string& reason);

  /// Asks the minion now, unless it is being asked.
  void RequestHold(TrackedMinion& minion);

  /// Gives up runs whose minion's lease has surely run out.
  void ExpireLeases();

  void Close() { m_is_closed = true; }

 private:
  using Self = std::shared_ptr<RunSupervisor>;

  void SendStart(const TaskName& task, const MinionId& minion, AttemptNumber attempt,
                 const std::string& payload, const std::string& checkpoint);
  void OnStartAnswer(const StartOrder& order, const MinionId& minion, const OrderAnswer& answer);
  void SendStop(const TaskName& task, const MinionId& minion, AttemptNumber attempt);
  void OnStopAnswer(const StopOrder& order, const MinionId& minion, const OrderAnswer& answer);
  void SendStopLater(const TaskName& task, const MinionId& minion, AttemptNumber attempt);
  void SendHold(TrackedMinion& minion);
  void RequestHoldLater(TrackedMinion& minion, Milliseconds delay);
  void OnHoldAnswer(const MinionId& id, Milliseconds sent_at, const HoldAnswer& answer);
  void OnHoldFailed(TrackedMinion& minion, const HoldAnswer& answer);
  void ProcessReport(TrackedMinion& minion, Milliseconds sent_at, const HoldReport& report);
  void UpdateIncarnation(TrackedMinion& minion, MinionIncarnation incarnation);
  void ProcessEndedRuns(const MinionId& id, const HoldReport& report);
  void ProcessActiveRuns(TrackedMinion& minion, const HoldReport& report);
  void StopStrayRun(TrackedMinion& minion, const ActiveRun& active);
  void ResolveMissingRuns(TrackedMinion& minion, Milliseconds sent_at, const HoldReport& report);
  void LoseRun(const MinionId& minion, const TaskName& task, RunLoss loss,
               const std::string& reason);
  bool IsLeaseExpired(const TrackedMinion& minion) const;
  bool NeedsHold(const TrackedMinion& minion) const;
  std::optional<MinionTime> NextLease(const TrackedMinion& minion) const;
  MinionTime MinMinionClock(const TrackedMinion& minion) const;
  static void RecordUnansweredCall(TrackedMinion& minion);
  TrackedRun* FindRun(const TaskName& task, const MinionId& minion, AttemptNumber attempt);
  Milliseconds Now() const { return m_timers.clock().Now(); }

  Timers& m_timers;
  MinionPort& m_minions;
  LeaderState& m_state;
  const SupervisorSettings m_settings;
  const std::function<Milliseconds()> m_term_confirmed_at;
  const SupervisorCallbacks m_callbacks;
  bool m_is_closed = false;
};

}  // namespace papayalift
