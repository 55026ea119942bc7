/// The leader's in-memory state of jobs, runs and minions during one term.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/journal/accepted_job.h"
#include "libraries/journal/job_progress.h"
#include "libraries/leader/host_speeds.h"
#include "libraries/leader/leader_election.h"
#include "libraries/leader/planned_ends.h"
#include "libraries/leader/queue_durations.h"
#include "libraries/work/run_messages.h"

namespace papayalift {

/// A run that is still active this long after its start has outlived it.
constexpr Milliseconds kStartProbation{1'000};

enum class TrackedRunState {
  /// The placement is not stored yet, and no order was sent.
  kDecided,
  /// A start was sent, or may have been; the minion has not confirmed the run yet.
  kOrdered,
  kRunning,
  kStopping,
};

/// Where the measurement of a run's rate has begun.
struct RateWindow {
  int percent = 0;
  Milliseconds began_at{0};
};

/// One attempt of one task on one minion, from the decision until it has certainly ended.
struct TrackedRun {
  TaskName task;
  AttemptNumber attempt;
  MinionId minion;
  MinionIncarnation incarnation;
  /// Empty if the run's job is not known or has none.
  WorkspaceId workspace;
  Resources needs;
  TrackedRunState state = TrackedRunState::kDecided;
  /// The run is to be stopped. It may be set before the outcome of the start is known.
  bool stop_wanted = false;
  std::string stop_reason;
  /// Another member of its gang has failed or was lost, so its minion has ended the run as well.
  bool is_gang_broken = false;
  int orders_sent = 0;
  /// When the minion confirmed the run. Reports requested after this time must list it.
  std::optional<Milliseconds> answered_at;
  std::optional<Milliseconds> stop_answered_at;
  /// No later process than the one that reported last can have received its starts.
  bool is_process_shown = false;
  /// Start orders whose outcome is not known yet.
  int starts_in_flight = 0;
  /// When the outcome of a start was last known.
  Milliseconds start_outcome_at{0};
  /// Until then a process that this leader does not know may hold a lease for the run; empty if
  /// only the known one can have received its starts.
  std::optional<Milliseconds> unknown_process_until;
  Milliseconds decided_at{0};
  /// When its start was first sent.
  Milliseconds ordered_at{0};
  /// When a former leader placed it, on this process's clock, if that is known.
  std::optional<Milliseconds> placed_before_at;
  std::optional<Milliseconds> running_since;
  int percent = 0;
  /// When `percent` last rose.
  Milliseconds last_progress_at{0};
  /// The run is suspected of crashing minions: nothing is placed beside it until it has outlived
  /// its start.
  bool is_isolated = false;
  /// A report has listed the run some time after its start.
  bool has_outlived_start = false;
  /// `percent` in the first report; not 0 for a run that started from a checkpoint.
  std::optional<int> initial_percent;
  Milliseconds initial_percent_at{0};
  /// When `percent` was last reported, risen or not.
  Milliseconds reported_at{0};
  /// Empty before the run is first measured.
  std::optional<RateWindow> rate_window;
  /// How often its rate was measured.
  int rates_measured = 0;
  bool is_duration_recorded = false;
};

/// The end of a run that a minion has reported and that is not stored yet.
struct EndReference {
  MinionId minion;
  MinionIncarnation incarnation;
  EndNumber number;
};

/// One write of a job's progress, kept until it is answered.
struct ProgressWrite {
  Transaction transaction;
  std::string value;
  std::vector<TaskName> placements;
  /// Minions whose registrations the write compares.
  std::vector<MinionId> compared_minions;
  std::vector<EndReference> ends;
  /// When it was last sent.
  Milliseconds sent_at{0};
  /// The earliest time at which the store may have applied it; its conditions held at that time or
  /// later.
  Milliseconds conditions_held_at{0};
  /// An earlier send of the same write was not answered.
  bool may_have_applied = false;
  bool removes_waiting_key = false;
  bool stores_end = false;
};

/// How long a ready step was held back for its preferred rack although it would have fitted
/// elsewhere. Adds up over all its starts.
struct RackHold {
  Milliseconds total{0};
  /// The last planning pass that held it back.
  std::optional<Milliseconds> last_held_at;
};

struct TrackedJob {
  AcceptedJob accepted;
  /// Revision of the accepted record. Every write of the job is conditional on it, so that nothing
  /// of a job runs once its record is gone.
  Revision accepted_revision;
  /// A write found the accepted record gone or replaced. Nothing of the job is started any more.
  bool is_record_gone = false;
  /// A record that was accepted under the same id after this one. It is applied once this one is
  /// removed.
  std::optional<StoreItem> resubmission;
  bool is_removal_in_flight = false;
  bool is_cancelled = false;
  /// When this process first read the cancellation.
  Milliseconds cancelled_since{0};
  JobProgress progress;
  /// Revision of the progress record; 0 while there is none.
  Revision progress_revision;
  /// The stored record says that the job has ended. Its state is final from then on.
  bool is_end_stored = false;
  bool is_dirty = false;
  std::optional<ProgressWrite> write;
  std::vector<EndReference> unsaved_ends;
  bool has_waiting_key = true;
  /// A minion has started one of its tasks.
  bool has_started = false;
  /// When this process first read the job.
  Milliseconds known_since{0};
  /// Of all its steps; set when it is first planned.
  std::optional<Milliseconds> critical_path;
  /// For each step, since when it has been ready with waiting tasks.
  std::vector<std::optional<Milliseconds>> ready_since;
  /// For each step, how long it was held back for its preferred rack.
  std::vector<RackHold> rack_holds;
  std::optional<Milliseconds> ended_since;
  /// Number of tracked runs for each step.
  std::vector<int> runs_by_step;
  std::set<MinionId> failed_on;
  /// How often tasks were stopped in this term because they stood still.
  std::map<TaskName, int> stalls;
  /// How often tasks were stopped in this term to make room for others.
  std::map<TaskName, int> reclaims;

  bool has_runs() const;
  /// It was cancelled, and is not stored: a node of a former version has stored the withdrawal
  /// here.
  bool is_withdrawn() const;
  /// Whether its progress may be written now.
  bool is_writable() const;
};

/// A job whose records this leader has removed from the store.
struct RemovedJob {
  /// The records were removed at this revision. Items that are not newer are of the removed job.
  Revision revision;
  Milliseconds removed_at{0};
};

struct MinionHealth {
  /// Until then the minion gets no work.
  Milliseconds avoid_until{0};
  int consecutive_failures = 0;
  /// Work per second relative to the estimates of the steps.
  double speed = 1;
  Milliseconds speed_measured_at{0};
  /// Speed of its machine relative to the usual one of the service; empty if the machines of the
  /// service differ little.
  std::optional<double> learned_speed;
  /// It is among the fast minions of its service.
  bool is_fast = false;
  /// The service's machines differ so much that placement regards it, and this one's speed is not
  /// known.
  bool needs_measurement = false;
};

/// A time without answers from a minion.
struct MinionSilence {
  /// When the first call failed.
  Milliseconds since{0};
  /// The host refused a connection: it is up, but the minion's process is gone.
  bool was_refused = false;
  /// Another minion answered at the address.
  bool was_replaced = false;
  /// Not only starts have failed, but a hold as well.
  bool has_failed_hold = false;
};

struct TrackedMinion {
  MinionId id;
  /// Empty while the minion is not registered.
  std::optional<MinionEntry> entry;
  Revision entry_revision;
  /// Hash of the entry's text without its counters, to recognize an entry that has not changed.
  std::uint64_t entry_hash = 0;
  /// Zone of the latest entry, kept when the minion leaves the registry.
  ZoneId zone;
  /// The process that the latest entry or report has shown; 0 before the first.
  MinionIncarnation latest_process;
  /// When the entry of this incarnation was first received.
  Milliseconds registered_at{0};
  /// When the entry, changed or not, was last received from the store.
  Milliseconds entry_heard_at{0};
  /// When a write that was conditional on the entry's revision last found it in the store.
  Milliseconds entry_confirmed_at{0};
  std::string address;
  /// The machine that the latest entry shows.
  HostIdentity host;
  /// The incarnation that last answered a call of this term; 0 before the first answer.
  MinionIncarnation incarnation;
  /// A report was received in this term.
  bool has_reported = false;
  /// Number of reports received in this term.
  int reports = 0;
  MinionTime clock;
  /// When `clock` was read, on this process's clock.
  Milliseconds clock_read_at{0};
  /// The process `incarnation` has certainly still run then: its latest report was asked for.
  Milliseconds process_seen_at{0};
  /// When a start was last answered by a process that may be another than the one that reported
  /// last; empty once a report that was asked for later has come.
  std::optional<Milliseconds> in_doubt_since;
  /// The highest token of the orders sent to it in this term; 0 before the first.
  FencingToken token;
  /// Orders meant for a former process may still reach its process, and are to be barred by a
  /// higher token.
  bool needs_higher_token = false;
  /// An order with such a token was sent, and nothing shows yet that it was received.
  bool is_barring_late_orders = false;
  /// When its process first reported, if another had reported in this term before.
  Milliseconds new_process_at{0};
  /// The latest lease end that an order of this term has named.
  std::optional<MinionTime> lease_until;
  /// The latest lease end that its process may have been granted by orders meant for a former
  /// process, whose clock was ahead, or sent by a former leader. No order names it.
  std::optional<MinionTime> foreign_lease_until;
  std::map<TaskName, TrackedRun> runs;
  Resources allocated;
  /// Highest end number in the reports of this incarnation.
  EndNumber last_end;
  /// Reported ends that are not stored yet.
  std::set<EndNumber> unsaved_ends;
  EndNumber last_acknowledgement_sent;
  /// Acknowledgements in a row that were not sent, as no connection to its process was kept.
  int unsent_acknowledgements = 0;
  bool is_hold_in_flight = false;
  /// Of the latest hold. The answers to earlier ones are ignored.
  int hold_number = 0;
  /// A hold call beside the one that waits, to learn which process has taken a start.
  bool is_look_in_flight = false;
  TimerId hold_timer = 0;
  /// Gives its runs up when its leases have expired.
  TimerId give_up_timer = 0;
  Milliseconds last_report_at{0};
  /// When a start was last sent to it in this term, and of which task.
  std::optional<Milliseconds> last_start_sent_at;
  TaskName last_started_task;
  /// Unanswered calls since the last answer.
  int unanswered_calls = 0;
  /// Since the last answer; empty if no call has failed since.
  std::optional<MinionSilence> silence;
  /// The silence that was ended by an answer after the last report.
  std::optional<MinionSilence> previous_silence;
  /// When the minion last left the registry, or started a new incarnation, without an announcement.
  std::optional<Milliseconds> vanished_at;
  /// Every call since the last report was answered, so there is no sign of a restart.
  bool is_incarnation_confirmed = false;
  MinionHealth health;

  /// The highest end number up to which all reported ends are stored.
  EndNumber acknowledgeable_end() const;
  /// It has reported in this term, and no call since its last answer has failed.
  bool answers() const { return has_reported && !silence.has_value(); }
  MinionAddress destination() const { return MinionAddress{id, address}; }
};

/// Runs on minions that have not answered the last call.
struct SilentRuns {
  int minions = 0;
  int runs_on_listed_minions = 0;
  int runs_on_unlisted_minions = 0;
  /// The longest time for which one of these minions has been silent in this term.
  Milliseconds longest_silence{0};
};

struct LeaderState {
  Term term;
  /// The latest revision at which the term is known to have been this leader's: of a write that was
  /// conditional on it.
  Revision confirmed_revision;
  Milliseconds elected_at{0};
  std::map<JobId, TrackedJob> jobs;
  /// Reads that were sent before a removal may still list the job.
  std::map<JobId, RemovedJob> removed_jobs;
  std::map<MinionId, TrackedMinion> minions;
  std::set<ZoneId> evacuated_zones;
  /// The lease record says that this leader may grant leases.
  bool may_grant_leases = false;
  /// Minions that the lease record may list as silent. They are granted no lease.
  std::set<MinionId> listed_as_silent;
  /// No leader has granted a lease before this one.
  bool is_first_leader = false;
  /// When the registry's watch, or a read of all of it, last showed an entry written since. Entries
  /// that a refused write shows do not count: they say nothing of the others.
  Milliseconds registry_heard_at{0};
  /// All changes of the registry before this time are known.
  Milliseconds registry_known_at{0};
  /// An entry has a new revision but is unchanged, so minions write theirs again and again, and one
  /// that is not received has not been written.
  bool has_heartbeats = false;
  /// What is known of the speed of the machines.
  HostSpeeds host_speeds;
  QueueDurations queue_durations;
  PlannedEnds planned_ends;

  TrackedJob* FindJob(const JobId& id);
  TrackedMinion* FindMinion(const MinionId& id);
  TaskProgress* FindTask(const TaskName& name);
  /// The step of the task; nullptr if its job is not known or has no such step.
  const StepSpec* FindStep(const TaskName& task) const;
  TrackedRun* FindRun(const TaskName& name, AttemptNumber attempt);
  /// Whether a minion that started after `incarnation` is registered at the address.
  bool HasLaterMinionAt(const std::string& address, MinionIncarnation incarnation) const;

  /// Whether an order may name a lease for the minion, which was heard of in this term.
  bool MayGrantLease(const MinionId& id) const {
    return may_grant_leases && !listed_as_silent.contains(id);
  }
  SilentRuns CountSilentRuns(Milliseconds now) const;
  /// Starts of this leader that no answer has confirmed yet, on minions that answer.
  std::int64_t CountStartsOut() const;

  /// Whether the minion's latest process has announced its end.
  bool IsLeaving(const TrackedMinion& minion) const {
    return planned_ends.IsAnnounced(minion.id, minion.latest_process);
  }
  /// Drops announcements of processes that are neither registered nor have runs any more.
  void DropOldAnnouncements(Milliseconds now);

  void AddRun(TrackedMinion& minion, TrackedRun run);
  /// Removes the run and releases its resources on the minion.
  void RemoveRun(const MinionId& minion, const TaskName& name);
};

}  // namespace papayalift
