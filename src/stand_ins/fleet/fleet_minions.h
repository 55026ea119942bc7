/// Simulated minions that run tasks, each with its own fencing token, lease, incarnation and clock.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/loop/timers.h"
#include "libraries/work/run_messages.h"
#include "libraries/work/work_spec.h"
#include "stand_ins/fleet/fleet_store.h"

namespace papayalift {

/// A task that crashes every minion that starts it.
struct DeadlyTask {
  int step = 0;
  int index = 0;
};

/// The specification and simulated outcome of a job that a test submits.
struct RegisteredJob {
  WorkSpec work;
  Milliseconds duration{1'000};
  /// Number of initial attempts of each task that fail.
  int failing_attempts = 0;
  std::vector<DeadlyTask> deadly_tasks;
  /// Time from the start of a deadly task until its minion crashes. The start stays without an
  /// answer if the minion crashes before it has answered.
  Milliseconds crash_delay{10};
};

/// Under which id a machine's next minion registers, if there is one.
enum class MinionReturn { kSameId, kNewId, kNever };

/// How calls to a minion fail while its process is gone.
enum class OutageKind {
  /// At once, with a refused connection.
  kRefused,
  /// At once, with a connection that is reset after the call was sent.
  kReset,
  /// After the caller's timeout, without an answer.
  kSilent,
};

/// From the end of a minion's process until a new one runs on its machine.
struct MinionOutage {
  Milliseconds duration{3'300};
  MinionReturn comes_back = MinionReturn::kSameId;
  OutageKind kind = OutageKind::kRefused;
};

enum class OrderFault {
  kNone,
  /// Neither executed nor answered.
  kLost,
  /// Executed but not answered.
  kAnswerLost,
  /// Not answered, and executed seconds later.
  kLate,
  /// Refused by an unhealthy minion.
  kRefused,
};

/// When a minion's entry shows a new capacity.
enum class Publication { kAtOnce, kWithNextHeartbeat };

/// After a shrink, starts that fit the former room are no violations for the sum of both times.
struct ShrinkSettings {
  Milliseconds contact_bound{3'000};
  Milliseconds heartbeat_interval{1'500};
};

/// What the minions observed of one job.
struct JobRecord {
  int starts = 0;
  /// Arrival time of the last start order, even if the order was executed later.
  Milliseconds last_order_at{0};
  int running = 0;
  /// Number of tasks that completed successfully.
  int done = 0;
};

/// What the minions observed of one task.
struct TaskRecord {
  int starts = 0;
  /// Number of minions that crashed under the task, if it is deadly. Lost zones don't count.
  int crashes = 0;
  /// Starts after as many crashes as suffice to recognize a deadly task.
  int starts_after_crashes = 0;
  /// Number of its runs that ended with their minion's process.
  int lost_runs = 0;
  /// Addresses of the minions with which they ended.
  std::set<std::string> lost_at;
};

/// What a minion has room for.
struct MinionRoom {
  Resources capacity;
  /// By its runs, also while they are being stopped.
  Resources taken;
  MinionState state = MinionState::kReady;
};

/// All minions of a test. Records what they observe and collects violations of the rules.
class FleetMinions {
 public:
  FleetMinions(Timers& timers, FleetStore& store) : m_timers(timers), m_store(store) {}

  /// Sets the address that minions publish from now on.
  void SetAdvertisedAddress(const std::string& address) { m_address = address; }
  void Add(const MinionId& id, const RackId& rack, const Resources& capacity,
           const ZoneId& zone = ZoneId("a"));
  /// Also runs jobs that were not registered. Checks that need a job's specification skip them.
  void AcceptUnknownJobs() { m_accepts_unknown_jobs = true; }
  void RegisterJob(const JobId& id, RegisteredJob job) { m_jobs[id] = std::move(job); }
  /// Whether a minion of this id runs or has run.
  bool Has(const MinionId& id) const { return m_minions.contains(id); }
  /// Whether the minion's process runs.
  bool IsUp(const MinionId& id) const;
  MinionTime ClockNow(const MinionId& id) const { return ClockOf(m_minions.at(id)); }
  /// When the process started with which a connection can be established now; nullopt if there is
  /// none.
  std::optional<Milliseconds> ListeningSince(const MinionId& id) const;
  /// Every reachable minion writes its entry again with other counters.
  void SendHeartbeats();
  void SendHeartbeat(const MinionId& id);
  void SetShrinkSettings(const ShrinkSettings& settings) { m_shrink = settings; }
  void SetCapacity(const MinionId& id, const Resources& capacity, Publication publication);
  /// While it is cut off from the store, the minion's entry stays as it is; orders still reach it.
  void SetCutOffFromStore(const MinionId& id, bool is_cut_off);
  /// While it is cut off from callers, the minion runs on and writes heartbeats, and calls fail in
  /// the given way; nullopt ends it.
  void SetCutOffFromCallers(const MinionId& id, std::optional<OutageKind> kind);
  /// The platform removes the entry of a minion that has been silent for three heartbeat intervals.
  void RemoveSilentEntries();
  /// Work per second on the minion's machine, 1 being usual, of runs that begin from now on. A gang
  /// is as slow as its slowest member.
  void SetSpeed(const MinionId& id, double speed);
  void SetRack(const MinionId& id, const RackId& rack);
  void SetDraining(const MinionId& id);
  /// The minion announces its end, and its process ends after `notice`, as planned: it withdraws
  /// its entry, and the machine's next minion comes after the outage.
  void Drain(const MinionId& id, Milliseconds notice, const MinionOutage& outage = {});
  /// The minion's entry as it is now is written once more after the delay, as by a late call.
  void RepeatEntryLater(const MinionId& id, Milliseconds delay);
  /// Kills all runs on the minion and starts a new incarnation under the same id at once.
  void Restart(const MinionId& id);
  /// Ends the minion's process with all runs on it. A new one runs on the machine after the outage.
  /// No effect on a minion whose process is gone already.
  void Crash(const MinionId& id, const MinionOutage& outage = {});
  /// Crashes all minions of the zone. They are silent, and come back together.
  void LoseZone(const ZoneId& zone, Milliseconds duration = Milliseconds(1'500));
  /// Restarts all minions in the order of their ids, one each `interval`.
  void RestartInTurn(Milliseconds interval, const MinionOutage& outage = {});
  /// How long minions are gone after a deadly task has crashed them.
  void SetOutageOfCrashes(const MinionOutage& outage) { m_outage_of_crashes = outage; }
  /// The id of the newest minion on the machine that a minion of this id has run on.
  MinionId NewestOn(const MinionId& id) const;
  void SetReachable(const MinionId& id, bool is_reachable);
  /// Start orders that arrive later than a bound after `since` are violations; nullopt ends the
  /// evacuation.
  void SetEvacuatedSince(std::optional<Milliseconds> since) { m_evacuated_since = since; }
  void FailNextOrders(const MinionId& id, std::deque<OrderFault> faults);
  /// The same for hold calls. Those that are lost or late are not answered.
  void FailNextHolds(const MinionId& id, std::deque<OrderFault> faults);
  /// How many ends a report lists at most. The others follow once these are acknowledged.
  void SetMaxEndsPerReport(std::size_t ends) { m_max_ends_per_report = ends; }

  void Start(const MinionAddress& minion, const StartOrder& order,
             const std::function<void(OrderAnswer)>& answer);
  void Stop(const MinionAddress& minion, const StopOrder& order,
            const std::function<void(OrderAnswer)>& answer);
  void Hold(const MinionAddress& minion, const HoldOrder& order,
            const std::function<void(HoldAnswer)>& answer);

  /// Number of starts executed, for one job or for all.
  int starts(const JobId& job) const;
  int starts() const;
  std::map<JobId, JobRecord> Records() const;
  TaskRecord RecordOf(const TaskName& task) const;
  /// Number of runs of the job that ended with their minion's process.
  int lost_runs(const JobId& job) const;
  /// The same for that task of the job that lost most.
  int max_lost_runs_of_task(const JobId& job) const;
  /// Whether minions ended under one task of the job on two machines at least. Such a task may be
  /// given up: it can't be told from one that crashes the minions that start it.
  bool HasLostTaskOnTwoMachines(const JobId& job) const;
  /// Number of crashes so far, by tasks and by calls of Crash().
  int crashes() const { return m_crashes; }
  std::vector<MinionId> RunningOn(const JobId& job) const;
  /// Registered jobs that were started, have no run now, and have tasks that are not done.
  std::vector<JobId> InterruptedJobs() const;
  bool IsEvacuated() const { return m_evacuated_since.has_value(); }
  std::vector<TaskName> TasksOn(const MinionId& id) const;
  /// Whether a run of the task has completed successfully.
  bool IsDone(const TaskName& task) const { return m_done.contains(task); }
  /// The rooms of all minions whose process runs, after all runs that are due have ended.
  std::vector<MinionRoom> Rooms();
  /// Descriptions of the violations seen so far.
  const std::vector<std::string>& violations() const { return m_violations; }

 private:
  struct Run {
    TaskName task;
    AttemptNumber attempt;
    /// Set once the work begins; members of a gang wait for each other first.
    std::optional<Milliseconds> began_at;
    std::optional<Milliseconds> ends_at;
    Milliseconds accepted_at{0};
    bool is_stopping = false;
    std::string checkpoint;
  };
  /// A room that the minion had before it shrank.
  struct FormerRoom {
    Resources capacity;
    Milliseconds shrunk_at{0};
  };
  struct Minion {
    MinionId id;
    RackId rack;
    ZoneId zone;
    double speed = 1;
    Resources capacity;
    std::string address;
    Milliseconds started_at{0};
    /// Set while its process is gone.
    std::optional<OutageKind> outage;
    /// The minion that runs on its machine now, under another id.
    std::optional<MinionId> successor;
    FencingToken token;
    std::optional<MinionTime> lease_until;
    std::map<TaskName, Run> runs;
    std::map<TaskName, AttemptNumber> barred;
    std::vector<EndedRun> ended;
    std::int64_t last_end = 0;
    /// Ends that the minion still listed when its lease expired.
    std::set<EndNumber> lapsed_ends;
    EndNumber acknowledged;
    MinionState state = MinionState::kReady;
    bool is_reachable = true;
    bool is_cut_off_from_store = false;
    /// How calls to the running process fail.
    std::optional<OutageKind> cut_off_from_callers;
    std::vector<FormerRoom> former_rooms;
    Milliseconds published_at{0};
    std::deque<OrderFault> faults;
    std::deque<OrderFault> hold_faults;
    int heartbeats = 0;
  };

  static Minion NextLifeOf(const Minion& old);
  bool FailsHold(Minion& minion, const HoldOrder& order,
                 const std::function<void(HoldAnswer)>& answer);
  enum class ProcessEnd { kPlanned, kCrash };
  void EndProcess(Minion& minion, ProcessEnd end);
  void Leave(const MinionId& id, const MinionOutage& outage);
  void StartOutage(Minion& minion, const MinionOutage& outage);
  void ComeBack(const MinionId& id, MinionReturn comes_back);
  void ExpireEntry(const MinionId& id, Milliseconds started_at);
  /// Whether the minion's process is gone, can't be called, or is not at the address. If so, fails
  /// the call after `timeout` or at once.
  bool FailsCall(const Minion& minion, const MinionAddress& called, Milliseconds timeout,
                 const std::function<void(OrderResult)>& answer);
  /// Answers a start, unless the minion's process ends before.
  void AnswerStart(const Minion& minion, const OrderAnswer& done,
                   const std::function<void(OrderAnswer)>& answer);
  bool IsDeadly(const TaskName& task) const;
  void CountStart(const TaskName& task);
  void CrashIfDeadly(const Minion& minion, const TaskName& task);
  OrderFault NextFault(Minion& minion);
  MinionTime ClockOf(const Minion& minion) const;
  void Publish(Minion& minion);
  std::string EntryOf(const Minion& minion) const;
  void CarryOutLater(const MinionId& id, std::function<void(Minion&)> action);
  OrderAnswer CarryOutStart(Minion& minion, const StartOrder& order, Milliseconds arrived_at);
  OrderAnswer CarryOutStop(Minion& minion, const StopOrder& order);
  HoldAnswer CarryOutHold(Minion& minion, const HoldOrder& order);
  void Acknowledge(Minion& minion, EndNumber acknowledged);
  void PollHold(const MinionId& id, Milliseconds started_at, const HoldOrder& order,
                Milliseconds until, const std::function<void(HoldAnswer)>& answer);
  int PercentOf(const Run& run) const;
  void ExtendLease(Minion& minion, MinionTime until);
  void Advance(Minion& minion);
  void AdvanceAll();
  void BeginIfGangComplete(const TaskName& task, AttemptNumber attempt);
  void End(Minion& minion, const TaskName& task, EndKind kind);
  void EndRun(Minion& minion, const Run& run);
  bool IsGang(const TaskName& task) const;
  /// Returns the tasks of the run's gang on the minion, including the run's own task.
  static std::vector<TaskName> MembersOn(const Minion& minion, const Run& run);
  void BreakGangOf(const Run& run);
  void CheckStart(const Minion& minion, const StartOrder& order, Milliseconds arrived_at);
  /// Whether that much fits the minion's room, or a former one that still counted at `arrived_at`.
  bool FitsRoom(const Minion& minion, const Resources& taken, Milliseconds arrived_at) const;
  Resources AllocatedOn(const Minion& minion) const;
  const StepSpec* StepOf(const TaskName& task) const;
  void AddViolation(const std::string& rule, const TaskName& task);

  bool m_accepts_unknown_jobs = false;
  /// If empty, each machine has an address of its own.
  std::string m_address;
  Timers& m_timers;
  FleetStore& m_store;
  std::map<MinionId, Minion> m_minions;
  std::map<JobId, RegisteredJob> m_jobs;
  std::map<JobId, int> m_starts;
  std::map<TaskName, TaskRecord> m_task_records;
  std::size_t m_max_ends_per_report = 500;
  MinionOutage m_outage_of_crashes;
  int m_crashes = 0;
  std::map<JobId, Milliseconds> m_last_orders;
  std::optional<Milliseconds> m_evacuated_since;
  ShrinkSettings m_shrink;
  /// Tasks that completed successfully, and those whose completion was acknowledged.
  std::set<TaskName> m_done;
  std::set<TaskName> m_acknowledged_done;
  /// The latest attempt of each task that was started after another had completed, before the end
  /// of that was acknowledged.
  std::map<TaskName, AttemptNumber> m_started_after_done;
  std::vector<std::string> m_violations;
};

}  // namespace papayalift
