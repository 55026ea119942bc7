#include <algorithm>
#include <utility>

#include "libraries/journal/journal_keys.h"
#include "libraries/leader/leader_session.h"
#include "libraries/leader/task_isolation.h"
#include "libraries/log/log_event.h"
#include "libraries/planner/rack_wait.h"

namespace papayalift {

namespace {

constexpr Milliseconds kWatchWait{2'000};
constexpr Milliseconds kRetryDelay{200};
/// Minions with runs that have not reported by then are listed in the lease record. Until then no
/// lease is granted.
constexpr Milliseconds kMaxWaitForReports{250};
/// Heartbeats arrive several times within this time, unless watches report nothing.
constexpr Milliseconds kMaxWatchSilence{500};
/// Pause after reading all anew, relative to the time that it took. A node that is behind hears the
/// heartbeats late, and reading would put it further behind.
constexpr int kRereadPauseFactor = 10;

/// For this long a step that was ready before the term counts as having waited. The rest of the
/// shortest wait lets minions report before runs are stopped for it.
constexpr Milliseconds kRestoredWait{700};

void LogReadFailure(const std::string& prefix, const std::string& error) {
  LogEvent(LogLevel::kWarning, "leader", "the store could not be read; trying again")
      .Field("prefix", prefix)
      .Reason(error)
      .Write();
}

}  // namespace

void LeaderSession::LoadPrefix(std::size_t index) {
  m_context.store.ReadAll(
      m_watched_prefixes[index].prefix,
      [weak = weak_from_this(), index, sent_at = Now()](const ReadAnswer& answer) {
        const Self self = weak.lock();
        if (self != nullptr && !self->m_is_closed) {
          self->OnPrefixLoaded(index, sent_at, answer);
        }
      });
}

void LeaderSession::OnPrefixLoaded(std::size_t index, Milliseconds sent_at,
                                   const ReadAnswer& answer) {
  WatchedPrefix& watched = m_watched_prefixes[index];
  if (answer.result != ReadResult::kOk) {
    LogReadFailure(watched.prefix, answer.error);
    RetryLater([index](LeaderSession& self) { self.LoadPrefix(index); });
    return;
  }
  (this->*watched.apply_items)(answer);
  RecordKnown(watched, answer.revision, sent_at);
  watched.is_loaded = true;
  WatchPrefix(index, answer.revision);
  StartIfLoaded();
  SchedulePlan();
}

void LeaderSession::WatchPrefix(std::size_t index, Revision after) {
  m_context.store.Watch(
      m_watched_prefixes[index].prefix, after, kWatchWait,
      [weak = weak_from_this(), index, after, sent_at = Now()](const WatchAnswer& answer) {
        const Self self = weak.lock();
        if (self != nullptr && !self->m_is_closed) {
          self->OnPrefixChanged(index, after, sent_at, answer);
        }
      });
}

void LeaderSession::OnPrefixChanged(std::size_t index, Revision after, Milliseconds sent_at,
                                    const WatchAnswer& answer) {
  WatchedPrefix& watched = m_watched_prefixes[index];
  if (answer.result == WatchResult::kCompacted) {
    LogEvent(LogLevel::kWarning, "leader", "the store has forgotten changes; reading anew")
        .Field("prefix", watched.prefix)
        .Write();
    LoadPrefix(index);
    return;
  }
  if (answer.result == WatchResult::kFailed) {
    LogReadFailure(watched.prefix, answer.error);
    RetryLater([index, after](LeaderSession& self) { self.WatchPrefix(index, after); });
    return;
  }
  for (const WatchedChange& change : answer.changes) {
    (this->*watched.apply_change)(change);
  }
  if (!answer.changes.empty()) {
    // NOTE: a watch without changes shows nothing: the store may be about to forget its history.
    RecordKnown(watched, answer.revision, sent_at);
    StartIfLoaded();
  }
  const Revision next = std::max(after, answer.revision);
  if (watched.pause_after_changes.count() == 0 || answer.changes.empty()) {
    WatchPrefix(index, next);
    return;
  }
  m_context.timers.After(watched.pause_after_changes, [weak = weak_from_this(), index, next] {
    const Self self = weak.lock();
    if (self != nullptr && !self->m_is_closed) {
      self->WatchPrefix(index, next);
    }
  });
}

void LeaderSession::RetryLater(std::function<void(LeaderSession&)> action) {
  m_context.timers.After(kRetryDelay, [weak = weak_from_this(), action = std::move(action)] {
    const Self self = weak.lock();
    if (self != nullptr && !self->m_is_closed) {
      action(*self);
    }
  });
}

void LeaderSession::RecordKnown(WatchedPrefix& watched, Revision revision, Milliseconds sent_at) {
  watched.known_revision = std::max(watched.known_revision, revision);
  if (watched.prefix == m_context.schema.MinionPrefix()) {
    m_state.registry_known_at = std::max(m_state.registry_known_at, sent_at);
  }
}

void LeaderSession::RereadPrefix(std::size_t index,
                                 std::function<void(LeaderSession&)> on_answered) {
  m_context.store.ReadAll(m_watched_prefixes[index].prefix,
                          [weak = weak_from_this(), index, on_answered = std::move(on_answered),
                           sent_at = Now()](const ReadAnswer& answer) {
                            const Self self = weak.lock();
                            if (self == nullptr || self->m_is_closed) {
                              return;
                            }
                            on_answered(*self);
                            WatchedPrefix& watched = self->m_watched_prefixes[index];
                            if (answer.result != ReadResult::kOk) {
                              LogReadFailure(watched.prefix, answer.error);
                              return;
                            }
                            if (answer.revision < watched.known_revision) {
                              LogEvent(LogLevel::kInfo, "leader",
                                       "a read is older than what is known; dropped")
                                  .Field("prefix", watched.prefix)
                                  .Field("revision", answer.revision.value())
                                  .Field("known_revision", watched.known_revision.value())
                                  .Write();
                              return;
                            }
                            (self.get()->*watched.apply_items)(answer);
                            self->RecordKnown(watched, answer.revision, sent_at);
                            self->SchedulePlan();
                          });
}

void LeaderSession::RereadRegistry() {
  if (m_is_registry_read_in_flight) {
    return;
  }
  m_is_registry_read_in_flight = true;
  for (std::size_t index = 0; index < m_watched_prefixes.size(); ++index) {
    if (m_watched_prefixes[index].prefix == m_context.schema.MinionPrefix()) {
      RereadPrefix(index, [](LeaderSession& self) { self.m_is_registry_read_in_flight = false; });
    }
  }
}

void LeaderSession::RereadIfWatchesAreSilent() {
  // What this process has not handled yet, or asked for late, is not the watches' silence.
  const Milliseconds silence =
      m_context.timers.HeardUntil() - m_state.registry_heard_at - m_context.timers.Lateness();
  if (!m_state.has_heartbeats || m_is_registry_read_in_flight || Now() < m_next_reread_at ||
      silence < kMaxWatchSilence || m_context.election.contact_age() >= kMaxWatchSilence) {
    return;
  }
  LogEvent(LogLevel::kWarning, "leader", "watches report no heartbeats; reading all again")
      .Field("silent_ms", silence.count())
      .Field("store_contact_age_ms", m_context.election.contact_age().count())
      .Write();
  // NOTE: writes that find a minion's entry unchanged show that it stands, not that others beat on.
  RereadRegistry();
  for (std::size_t index = 0; index < m_watched_prefixes.size(); ++index) {
    if (m_watched_prefixes[index].prefix != m_context.schema.MinionPrefix()) {
      RereadPrefix(index, [began_at = Now()](LeaderSession& self) {
        self.m_next_reread_at = self.Now() + (self.Now() - began_at) * kRereadPauseFactor;
      });
    }
  }
}

void LeaderSession::LoadProgress() {
  m_context.store.ReadAll(kProgressPrefix, [weak = weak_from_this()](const ReadAnswer& answer) {
    const Self self = weak.lock();
    if (self == nullptr || self->m_is_closed) {
      return;
    }
    if (answer.result != ReadResult::kOk) {
      LogReadFailure(kProgressPrefix, answer.error);
      self->RetryLater([](LeaderSession& session) { session.LoadProgress(); });
      return;
    }
    self->ApplyProgressItems(answer);
    self->m_progress_is_loaded = true;
    self->m_had_progress = !answer.items.empty();
    self->StartIfLoaded();
  });
}

bool LeaderSession::IsLoaded() const {
  return m_progress_is_loaded && m_lease_recorder->is_loaded() &&
         m_context.view.manifest() != nullptr &&
         std::all_of(m_watched_prefixes.begin(), m_watched_prefixes.end(),
                     [](const WatchedPrefix& watched) { return watched.is_loaded; });
}

void LeaderSession::StartIfLoaded() {
  if (m_has_started || !IsLoaded()) {
    return;
  }
  m_has_started = true;
  m_state.is_first_leader = !m_lease_recorder->had_record() && !m_had_progress;
  for (auto& [id, job] : m_state.jobs) {
    DropProgressWithoutJob(id, job);
    if (!job.accepted.id.empty()) {
      RestoreRuns(job);
      RestoreWaits(job);
    }
  }
  RecallAnnouncementsIfNeeded();
  BeginLeading();
}

void LeaderSession::BeginLeading() {
  const std::int64_t unended =
      std::count_if(m_state.jobs.begin(), m_state.jobs.end(), [](const auto& entry) {
        return !entry.second.accepted.id.empty() && !HasEnded(entry.second.progress.state);
      });
  LogEvent(LogLevel::kInfo, "leader", "leading")
      .Field("token", m_state.term.token.value())
      .Field("jobs", static_cast<std::int64_t>(m_state.jobs.size()))
      .Field("unended", unended)
      .Field("minions", static_cast<std::int64_t>(m_state.minions.size()))
      .Field("reading_ms", (Now() - m_state.elected_at).count())
      .Write();
  m_lease_recorder->RemoveNeedless(Milliseconds(0));
  m_supervisor->RequestFirstReports();
  m_context.timers.After(kMaxWaitForReports, [weak = weak_from_this()] {
    const Self self = weak.lock();
    if (self != nullptr && !self->m_is_closed) {
      self->OpenLeases();
    }
  });
  for (auto& [id, job] : m_state.jobs) {
    if (job.is_cancelled && !job.accepted.id.empty()) {
      Cancel(job);
    } else if (HasEnded(job.progress.state)) {
      StopJob(job, "the job has ended");
    }
  }
  Tick();
}

void LeaderSession::RestoreWaits(TrackedJob& job) {
  job.rack_holds.resize(job.progress.steps.size());
  job.ready_since.resize(job.progress.steps.size());
  for (std::size_t step = 0; step < job.rack_holds.size(); ++step) {
    const std::vector<int>& after = job.accepted.work.steps[step].after;
    const bool is_ready = std::all_of(after.begin(), after.end(), [&job](int earlier) {
      return AllTasksInPhase(job.progress.steps[static_cast<std::size_t>(earlier)],
                             TaskPhase::kDone);
    });
    if (is_ready) {
      job.rack_holds[step].total = kMaxWaitBesideRoom;
      job.ready_since[step] = Now() - kRestoredWait;
    }
  }
}

void LeaderSession::RestoreRuns(TrackedJob& job) {
  // The key may already be deleted; deleting it again has no effect.
  job.has_waiting_key = !HasEnded(job.progress.state);
  if (HasEnded(job.progress.state)) {
    job.ended_since = Now();
  }
  for (std::size_t step = 0; step < job.progress.steps.size(); ++step) {
    const std::vector<TaskProgress>& tasks = job.progress.steps[step].tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
      const TaskProgress& task = tasks[index];
      const TaskName name{job.accepted.id, 0, static_cast<int>(step), static_cast<int>(index)};
      if (!task.open_losses.empty()) {
        m_tasks_with_open_losses.insert(name);
      }
      if (task.phase != TaskPhase::kPlaced) {
        continue;
      }
      if (task.announced_end.has_value()) {
        m_state.planned_ends.Restore(task.minion, task.incarnation, *task.announced_end, Now());
      }
      TrackedMinion& minion = m_state.minions[task.minion];
      minion.id = task.minion;
      if (!minion.entry.has_value()) {
        // It left the registry at some time before this term.
        if (!task.announced_end.has_value()) {
          minion.vanished_at = m_state.elected_at;
        }
        minion.latest_process = std::max(minion.latest_process, task.incarnation);
        minion.address = task.address;
      }
      TrackedRun run;
      run.task = name;
      run.attempt = task.attempt;
      run.minion = task.minion;
      run.incarnation = task.incarnation;
      run.needs = job.accepted.work.steps[step].needs;
      run.state = TrackedRunState::kOrdered;
      run.decided_at = Now();
      run.is_isolated = IsSuspect(task);
      if (task.placed_at.count() > 0) {
        run.placed_before_at = Now() - (m_context.timers.clock().WallNow() - task.placed_at);
      }
      m_state.AddRun(minion, std::move(run));
      StoreAnnouncement(minion.runs.at(name));
    }
  }
}

}  // namespace papayalift
