/// The work of the leader during one term: reads the stored state, then schedules and runs jobs.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "libraries/leader/crash_attribution.h"
#include "libraries/leader/job_journal.h"
#include "libraries/leader/leader_election.h"
#include "libraries/leader/leader_state.h"
#include "libraries/leader/lease_recorder.h"
#include "libraries/leader/manifest_view.h"
#include "libraries/leader/run_supervisor.h"
#include "libraries/leader/start_window.h"
#include "libraries/leader/wait_monitor.h"
#include "libraries/metrics/metrics.h"
#include "libraries/planner/plan.h"
#include "libraries/work/minion_port.h"

namespace papayalift {

class HostSpeedRecorder;

/// Dependencies of a session. All of them outlive it.
struct LeaderContext {
  Timers& timers;
  StorePort& store;
  MinionPort& minions;
  const FleetSchema& schema;
  ManifestView& view;
  LeaderElection& election;
  Metrics& metrics;
};

struct LeaderSettings {
  SupervisorSettings supervisor;
  /// No start is sent unless it is known how its minion's registration stood in the store within
  /// this time. Must be less than the time within which minions that drain get no more work.
  Milliseconds registration_freshness{1'500};
  /// A minion gets no work if heartbeats of others have arrived since its last one for this long.
  Milliseconds max_heartbeat_age{2'250};
  /// How many times as long work takes away from its preferred rack.
  double remote_factor = 3;
  /// How long the records of a job are kept after it has ended.
  Milliseconds retention{120'000};
};

class LeaderSession : public std::enable_shared_from_this<LeaderSession> {
 public:
  static std::shared_ptr<LeaderSession> Create(const LeaderContext& context,
                                               const LeaderSettings& settings, Term term);

  void Start();

  /// Stops all activity. Answers to calls in flight are ignored.
  void Close();

  const LeaderState& state() const { return m_state; }

 private:
  using Self = std::shared_ptr<LeaderSession>;
  using ApplyItems = void (LeaderSession::*)(const ReadAnswer&);
  using ApplyChange = void (LeaderSession::*)(const WatchedChange&);

  /// A key prefix that is read once and then watched for changes.
  struct WatchedPrefix {
    std::string prefix;
    ApplyItems apply_items;
    ApplyChange apply_change;
    /// Time between changes and the next watch call, so that one call brings the changes of many.
    Milliseconds pause_after_changes{0};
    bool is_loaded = false;
    /// The changes up to here are known, by a read of all items or by a watch that brought changes.
    Revision known_revision{0};
  };

  LeaderSession(const LeaderContext& context, const LeaderSettings& settings, Term term);

  void CreateJournal();
  void CreateLeaseRecorder();
  void CreateSupervisor();

  // Loading and watching the stored state.
  void LoadPrefix(std::size_t index);
  void OnPrefixLoaded(std::size_t index, Milliseconds sent_at, const ReadAnswer& answer);
  void WatchPrefix(std::size_t index, Revision after);
  void OnPrefixChanged(std::size_t index, Revision after, Milliseconds sent_at,
                       const WatchAnswer& answer);
  /// Records that the prefix is known as the store held it at `sent_at`.
  void RecordKnown(WatchedPrefix& watched, Revision revision, Milliseconds sent_at);
  /// Reads the prefix once more beside its watch. An answer that is older than what the watch has
  /// brought meanwhile is dropped: what it lacks, or still has, is no news.
  void RereadPrefix(std::size_t index, std::function<void(LeaderSession&)> on_answered);
  /// Reads the registry anew if a start was held back because it is not known lately.
  void RereadRegistry();
  void RetryLater(std::function<void(LeaderSession&)> action);
  /// Reads the registry, the accepted jobs and the operator's keys again while the store answers
  /// but its watches report no heartbeats. Load that it answers: a store about to forget its
  /// history leaves watches without news for a second, while jobs are accepted and minions fall
  /// silent.
  void RereadIfWatchesAreSilent();
  void LoadProgress();
  void ApplyProgressItems(const ReadAnswer& answer);
  void ApplyAcceptedItems(const ReadAnswer& answer);
  void ApplyAcceptedChange(const WatchedChange& change);
  /// Whether any entry was written since it was last received.
  bool HasNewEntries(const ReadAnswer& answer);
  void ApplyMinionItems(const ReadAnswer& answer);
  void ApplyMinionChange(const WatchedChange& change);
  void ApplyOperatorItems(const ReadAnswer& answer);
  void ApplyOperatorChange(const WatchedChange& change);
  void ApplyAcceptedItem(const StoreItem& item);
  void ApplyMinionItem(const StoreItem& item);
  /// Whether the manifest, or an accepted job, names the service.
  bool IsNamed(const ServiceId& service) const;
  /// Logs that a minion was registered after the first reading: a new one, one that was not listed
  /// for a while, or a new incarnation.
  void LogRegistration(const TrackedMinion& minion, MinionIncarnation previous) const;
  void UnlistMinion(const MinionId& id);

  // Ends that minions have announced.
  /// Takes note of what the entry announces, and stores it with the tasks on that process.
  void ObserveAnnouncement(const MinionEntry& entry, const char* source);
  void StoreAnnouncement(const TrackedRun& run);
  /// Whether a task is placed on a process that is not registered and has announced no end.
  bool HasUnexplainedPlacement() const;
  /// Reads the changes of the registry before this term, if a process may have announced its end
  /// and left while nobody led. Until they are known, no task is accused of a crash.
  void RecallAnnouncementsIfNeeded();
  void RecallAnnouncements(std::int64_t revisions);
  void OnAnnouncementsRecalled(std::int64_t revisions, const WatchAnswer& answer);

  bool IsLoaded() const;
  void StartIfLoaded();
  void BeginLeading();
  /// Writes that leases may be granted, and which minions have not reported.
  void OpenLeases();
  void OnLeasesOpened();
  void RestoreRuns(TrackedJob& job);
  /// Takes steps that were ready before this term to have waited, and to have been held for their
  /// racks already.
  void RestoreWaits(TrackedJob& job);
  /// Drops a progress record that is not of the accepted job: there is none, or it was accepted
  /// later, under the id of a former one.
  void DropProgressWithoutJob(const JobId& id, TrackedJob& job);

  /// Why the run must not be started, by the registration of its minion as known now; nullopt if it
  /// may. Checked before each order, so that no start depends on older knowledge than its order. If
  /// the registration is not known lately, the registry is read anew.
  std::optional<std::string> ObstacleToStart(const TrackedRun& run);
  void ConfirmRegistration(const MinionId& id, Milliseconds at);
  /// The steps with gangs of which a placement in the write has an obstacle.
  std::set<int> ObstructedGangs(const TrackedJob& job, const ProgressWrite& write);

  // Outcomes of runs.
  void OnEnded(const MinionId& minion, const EndedRun& end);
  void OnLost(const TrackedRun& run, RunLoss loss, const std::string& reason);
  void OnStarted(const TrackedRun& run);
  void OnActive(TrackedRun& run, const ActiveRun& active);
  void StopIfStalled(TrackedJob& job, TrackedRun& run);
  void HandleTaskDone(TrackedJob& job, const EndedRun& end);
  void PenalizeMinion(TrackedMinion& minion, const TrackedJob& job);
  void HandleTaskFailure(TrackedJob& job, const MinionId& minion, const EndedRun& end);
  /// Lets suspects that can be judged wait for another run, or gives up their jobs.
  void JudgeSuspects(JudgementScope scope);
  /// Records a run that was lost some time after its start. Returns whether its task is to wait
  /// until it is judged. Before that many in a row it is counted at once, as a leader that is lost
  /// before the judgement would leave no trace of it.
  bool MustWaitAfterLateLoss(const TrackedMinion& minion, const TrackedRun& run,
                             TaskProgress& task);
  void RecordCrash(TrackedJob& job, TaskProgress& task, const JudgedRun& run);
  /// Keeps the loss with the task until it is known whether the minion's process has ended.
  void KeepOpen(TaskProgress& task, const JudgedRun& run);
  /// Counts open losses whose process has ended as crashes, and drops those whose process runs on.
  void ResolveOpenLosses();
  void ResolveOpenLossesOf(TrackedJob& job, const TaskName& name, TaskProgress& task);
  void ApplyJudgement(TrackedJob& job, TaskProgress& task, const JudgedRun& run);
  /// Drops the task's crashes some time after a start, once a run of it has lasted for long.
  void ForgetLateCrashesIfOutlived(TrackedJob& job, const TrackedRun& run);
  /// Lets the job's tasks that are placed only until they are judged wait, so that the job can end.
  void ReleaseSuspects(TrackedJob& job);
  void RecordCheckpoint(TrackedJob& job, const TaskName& task, const std::string& checkpoint);
  void ReturnToWaiting(TrackedJob& job, const TaskName& task);
  void StopStep(TrackedJob& job, int step, const std::string& reason);
  /// Stops the members of a gang of which one has failed or was lost.
  void StopBrokenGang(TrackedJob& job, int step, const std::string& reason);
  void StopJob(TrackedJob& job, const std::string& reason);
  void Cancel(TrackedJob& job);
  void EndJobIfSettled(TrackedJob& job);
  void EndJob(TrackedJob& job, WorkState state, const std::string& reason);

  // Results of journal writes.
  void OnStored(TrackedJob& job, const ProgressWrite& write);
  void OnConflict(TrackedJob& job, const ProgressWrite& write, const std::vector<StoreItem>& items);
  void DiscardPlacement(TrackedJob& job, const TaskName& task);
  void Acknowledge(const EndReference& end);

  // Planning.
  void SchedulePlan();
  void RunPlan();
  /// What the pass that begins may start, by how far this process is behind.
  StartAllowance UpdateStartWindow();
  void RecordHeldBackStarts(const std::vector<PlannedWait>& waits);
  /// Adds the time since the last pass to what its steps were held back for their racks.
  void RecordRackHolds(const std::vector<PlannedWait>& waits, Milliseconds now);
  void ApplyStart(const PlannedStart& start);
  void ApplyStop(const PlannedStop& stop);
  void Tick();
  void ExportSilentRuns();
  /// Learns the speed of machines from the progress of the runs since the last time.
  void LearnSpeeds();
  /// Learns from a run that is half done how long the tasks of its queue take.
  void RecordDuration(const TrackedJob& job, TrackedRun& run);
  /// Speed of the task's machine, or of the slowest of its gang; 1 if it is not known.
  double SpeedOfStep(const TrackedJob& job, const TaskName& task);

  // Removal of jobs that ended long ago.
  void RemoveExpiredJobs();
  bool IsRemovable(const TrackedJob& job) const;
  void RemoveJob(const JobId& id, TrackedJob& job);
  void OnRemovalAnswered(const JobId& id, const CommitAnswer& answer);
  void OnRemovalConflict(const JobId& id, TrackedJob& job, const CommitAnswer& answer);
  /// The store has no records of the job any more, as of the revision.
  void ForgetJob(const JobId& id, Revision removed_at);
  /// The accepted record was removed, or replaced by `current` if that has a revision.
  void MarkRecordGone(TrackedJob& job, const StoreItem& current);
  /// Whether the item is a remnant of a job that this leader has removed: a read that was sent
  /// before the removal may be answered after it.
  bool IsOfRemovedJob(const JobId& id, const StoreItem& item) const;

  Milliseconds Now() const { return m_context.timers.clock().Now(); }

  const LeaderContext m_context;
  const LeaderSettings m_settings;
  LeaderState m_state;
  std::vector<WatchedPrefix> m_watched_prefixes;
  bool m_progress_is_loaded = false;
  /// Former leaders have left progress records.
  bool m_had_progress = false;
  bool m_is_opening_leases = false;
  bool m_has_started = false;
  bool m_is_closed = false;
  bool m_is_plan_scheduled = false;
  CrashAttribution m_crash_attribution;
  std::set<TaskName> m_tasks_with_open_losses;
  /// While the changes of the registry before this term are being read: until when that may take.
  std::optional<Milliseconds> m_recall_until;
  bool m_is_registry_read_in_flight = false;
  /// No silence of the watches is answered by reading all anew before.
  Milliseconds m_next_reread_at{0};
  Milliseconds m_gone_hosts_dropped_at{0};
  Milliseconds m_last_plan_duration{0};
  WaitMonitor m_wait_monitor;
  StartWindow m_start_window;
  Milliseconds m_last_pass_at{0};
  std::shared_ptr<JobJournal> m_journal;
  std::shared_ptr<LeaseRecorder> m_lease_recorder;
  std::shared_ptr<HostSpeedRecorder> m_speed_recorder;
  std::shared_ptr<RunSupervisor> m_supervisor;
};

}  // namespace papayalift
