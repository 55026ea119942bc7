/// One term of office as the leader: reads everything, then runs the jobs.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "libraries/leader/job_journal.h"
#include "libraries/leader/leader_election.h"
#include "libraries/leader/leader_state.h"
#include "libraries/leader/manifest_view.h"
#include "libraries/leader/run_supervisor.h"
#include "libraries/metrics/metrics.h"
#include "libraries/planner/plan.h"
#include "libraries/work/minion_port.h"

namespace papayalift {

/// What a session works with; all outlive it.
struct LeaderContext {
  Timers& timers;
  StorePort& store;
  MinionPort& minions;
  const FleetDirectory& directory;
  ManifestView& view;
  LeaderElection& election;
  Metrics& metrics;
};

struct LeaderSettings {
  SupervisorSettings supervisor;
  /// How long a job that has ended can be asked for.
  Milliseconds retention{120'000};
};

class LeaderSession : public std::enable_shared_from_this<LeaderSession> {
 public:
  static std::shared_ptr<LeaderSession> Create(const LeaderContext& context,
                                               const LeaderSettings& settings, Term term);

  void Start();

  /// Does nothing any more; answers under way are dropped.
  void Close();

  const LeaderState& state() const { return m_state; }

 private:
  using Self = std::shared_ptr<LeaderSession>;
  using TakeItems = void (LeaderSession::*)(const ReadAnswer&);
  using TakeChange = void (LeaderSession::*)(const WatchedChange&);

  /// A prefix that is read once and then watched.
  struct Feed {
    std::string prefix;
    TakeItems take_items;
    TakeChange take_change;
    bool is_loaded = false;
  };

  LeaderSession(const LeaderContext& context, const LeaderSettings& settings, Term term);

  // What is read and watched.
  void LoadFeed(std::size_t index);
  void OnFeedLoaded(std::size_t index, const ReadAnswer& answer);
  void WatchFeed(std::size_t index, Revision after);
  void OnFeedChanged(std::size_t index, Revision after, const WatchAnswer& answer);
  void RetryLater(std::function<void(LeaderSession&)> action);
  void LoadProgress();
  void TakeProgress(const ReadAnswer& answer);
  void TakeAcceptedItems(const ReadAnswer& answer);
  void TakeAcceptedChange(const WatchedChange& change);
  void TakeMinionItems(const ReadAnswer& answer);
  void TakeMinionChange(const WatchedChange& change);
  void TakeOperatorItems(const ReadAnswer& answer);
  void TakeOperatorChange(const WatchedChange& change);
  void TakeAccepted(const StoreItem& item);
  void TakeMinion(const StoreItem& item);
  void DropMinion(const MinionId& id);
  bool IsReady() const;
  void BeginIfReady();
  void InheritRuns(TrackedJob& job);

  // What becomes of runs.
  void OnEnded(const MinionId& minion, const EndedRun& end);
  void OnLost(const TrackedRun& run, RunLoss loss, const std::string& reason);
  void OnStarted(const TrackedRun& run);
  void OnActive(TrackedRun& run, const ActiveRun& active);
  void StopIfItStandsStill(const TrackedJob& job, TrackedRun& run);
  void TakeDone(TrackedJob& job, const EndedRun& end);
  void BlameMinion(TrackedMinion& minion, const TrackedJob& job);
  void TakeFailure(TrackedJob& job, const MinionId& minion, const EndedRun& end);
  void TakeCheckpoint(TrackedJob& job, const TaskName& task, const std::string& checkpoint);
  void BackToWaiting(TrackedJob& job, const TaskName& task);
  void StopStep(TrackedJob& job, int step, const std::string& reason);
  void StopJob(TrackedJob& job, const std::string& reason);
  void Cancel(TrackedJob& job);
  void EndIfSettled(TrackedJob& job);
  void EndJob(TrackedJob& job, WorkState state, const std::string& reason);

  // What the journal reports.
  void OnStored(TrackedJob& job, const ProgressWrite& write);
  void OnConflict(TrackedJob& job, const ProgressWrite& write, const std::vector<StoreItem>& items);
  void DropPlacement(TrackedJob& job, const TaskName& task);
  void Acknowledge(const EndReference& end);

  // Planning.
  void PlanSoon();
  void RunPlan();
  void ApplyStart(const PlannedStart& start);
  void ApplyStop(const PlannedStop& stop);
  void Tick();
  void RemoveOld();
  void RemoveJob(const JobId& id, const TrackedJob& job);

  Milliseconds Now() const { return m_context.timers.clock().Now(); }

  const LeaderContext m_context;
  const LeaderSettings m_settings;
  LeaderState m_state;
  std::vector<Feed> m_feeds;
  bool m_progress_is_loaded = false;
  bool m_has_begun = false;
  bool m_is_closed = false;
  bool m_plan_is_set = false;
  Milliseconds m_plan_took{0};
  std::shared_ptr<JobJournal> m_journal;
  std::shared_ptr<RunSupervisor> m_supervisor;
};

}  // namespace papayalift
