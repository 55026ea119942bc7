/// What the leader knows of jobs, runs and minions during one term.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/journal/accepted_job.h"
#include "libraries/journal/job_progress.h"
#include "libraries/leader/leader_election.h"
#include "libraries/work/run_messages.h"

namespace papayalift {

enum class TrackedRunState {
  /// Its placement is not stored yet; nothing was sent.
  kDecided,
  /// A start was sent, or may have been; the minion has not said that it is there.
  kOrdered,
  kRunning,
  kStopping,
};

/// One attempt of one task on one minion, from the decision until it has surely ended.
struct TrackedRun {
  TaskName task;
  AttemptNumber attempt;
  MinionId minion;
  MinionIncarnation incarnation;
  Resources needs;
  TrackedRunState state = TrackedRunState::kDecided;
  /// A stop is wanted, though the start is not settled yet.
  bool stop_wanted = false;
  std::string stop_reason;
  int orders_sent = 0;
  /// When the minion answered an order for it: reports asked for later show it.
  std::optional<Milliseconds> answered_at;
  std::optional<Milliseconds> stop_answered_at;
  Milliseconds decided_at{0};
  std::optional<Milliseconds> running_since;
  int percent = 0;
  /// When the percentage last rose.
  Milliseconds last_progress_at{0};
  /// What the first report said; a run from a checkpoint does not begin at 0.
  std::optional<int> initial_percent;
  Milliseconds initial_percent_at{0};
};

/// An end that was listed and not yet stored.
struct EndReference {
  MinionId minion;
  MinionIncarnation incarnation;
  EndNumber number;
};

/// What one write of a job's progress carries; answers are matched against it.
struct ProgressWrite {
  Transaction transaction;
  std::string value;
  std::vector<TaskName> placements;
  std::vector<EndReference> ends;
  Milliseconds sent_at{0};
  /// An earlier send of the same write got no answer.
  bool may_have_applied = false;
  bool removes_waiting_key = false;
  bool stores_end = false;
};

struct TrackedJob {
  AcceptedJob accepted;
  bool is_cancelled = false;
  JobProgress progress;
  /// Of the progress record; 0 while there is none.
  Revision progress_revision;
  /// What the stored record says: a job whose end is stored stays as it ended.
  bool is_end_stored = false;
  bool is_dirty = false;
  std::optional<ProgressWrite> write;
  std::vector<EndReference> unsaved_ends;
  bool has_waiting_key = true;
  /// A minion has or had one of its tasks.
  bool has_started = false;
  /// Since when this process has known the job, and each of its steps to be ready.
  Milliseconds known_since{0};
  std::vector<std::optional<Milliseconds>> ready_since;
  std::optional<Milliseconds> ended_since;
  /// Runs that exist, by step.
  std::vector<int> runs_by_step;
  std::set<MinionId> failed_on;
};

/// How well a minion has worked lately.
struct MinionHealth {
  Milliseconds avoid_until{0};
  int failures_in_a_row = 0;
  double speed = 1;
  /// When the speed was last measured.
  Milliseconds speed_measured_at{0};
};

struct TrackedMinion {
  MinionId id;
  /// Empty while the registry does not list it.
  std::optional<MinionEntry> entry;
  Revision entry_revision;
  std::string address;
  /// The life that answered this term's token; 0 while none has.
  MinionIncarnation incarnation;
  bool is_confirmed = false;
  MinionTime clock;
  /// When that clock was read, on ours.
  Milliseconds clock_at{0};
  /// The latest end of the lease that any order of this term named.
  std::optional<MinionTime> lease_until;
  std::map<TaskName, TrackedRun> runs;
  Resources allocated;
  EndNumber last_end;
  std::set<EndNumber> unsaved_ends;
  EndNumber acknowledged_sent;
  bool is_hold_in_flight = false;
  TimerId hold_timer = 0;
  Milliseconds last_report_at{0};
  /// Calls without an answer since the last answer.
  int unanswered_calls = 0;
  /// No call has gone without an answer since the last report, so the life is still the same.
  bool is_incarnation_confirmed = false;
  MinionHealth health;

  EndNumber acknowledgeable_end() const;
  MinionAddress destination() const { return MinionAddress{id, address}; }
};

struct LeaderState {
  Term term;
  Milliseconds elected_at{0};
  std::map<JobId, TrackedJob> jobs;
  std::map<MinionId, TrackedMinion> minions;
  std::set<ZoneId> evacuated;

  TrackedJob* FindJob(const JobId& id);
  TrackedMinion* FindMinion(const MinionId& id);
  TaskProgress* FindTask(const TaskName& name);
  TrackedRun* FindRun(const TaskName& name, AttemptNumber attempt);

  void AddRun(TrackedMinion& minion, TrackedRun run);
  /// Frees its room.
  void RemoveRun(const MinionId& minion, const TaskName& name);
};

}  // namespace papayalift
