#include <algorithm>
#include <utility>

#include "libraries/base/hash.h"
#include "libraries/journal/accepted_job_codec.h"
#include "libraries/journal/job_progress_codec.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/leader/leader_session.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

constexpr Milliseconds kWatchWait{2'000};
constexpr Milliseconds kRetryDelay{200};
/// Heartbeats arrive several times within this time, unless watches report nothing.
constexpr Milliseconds kMaxWatchSilence{500};

void LogReadFailure(const std::string& prefix, const std::string& error) {
  LogEvent(LogLevel::kWarning, "leader", "the store could not be read; trying again")
      .Field("prefix", prefix)
      .Reason(error)
      .Write();
}

}  // namespace

void LeaderSession::LoadPrefix(std::size_t index) {
  m_context.store.ReadAll(m_watched_prefixes[index].prefix,
                          [weak = weak_from_this(), index](const ReadAnswer& answer) {
                            const Self self = weak.lock();
                            if (self != nullptr && !self->m_is_closed) {
                              self->OnPrefixLoaded(index, answer);
                            }
                          });
}

void LeaderSession::OnPrefixLoaded(std::size_t index, const ReadAnswer& answer) {
  WatchedPrefix& watched = m_watched_prefixes[index];
  if (answer.result != ReadResult::kOk) {
    LogReadFailure(watched.prefix, answer.error);
    RetryLater([index](LeaderSession& self) { self.LoadPrefix(index); });
    return;
  }
  (this->*watched.apply_items)(answer);
  watched.is_loaded = true;
  WatchPrefix(index, answer.revision);
  StartIfLoaded();
  SchedulePlan();
}

void LeaderSession::WatchPrefix(std::size_t index, Revision after) {
  m_context.store.Watch(m_watched_prefixes[index].prefix, after, kWatchWait,
                        [weak = weak_from_this(), index, after](const WatchAnswer& answer) {
                          const Self self = weak.lock();
                          if (self != nullptr && !self->m_is_closed) {
                            self->OnPrefixChanged(index, after, answer);
                          }
                        });
}

void LeaderSession::OnPrefixChanged(std::size_t index, Revision after, const WatchAnswer& answer) {
  const WatchedPrefix& watched = m_watched_prefixes[index];
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

void LeaderSession::RereadIfWatchesAreSilent() {
  if (!m_state.has_heartbeats || Now() - m_state.registry_heard_at < kMaxWatchSilence ||
      m_context.election.contact_age() >= kMaxWatchSilence) {
    return;
  }
  LogEvent(LogLevel::kWarning, "leader", "watches report no heartbeats; reading jobs again")
      .Field("silent_ms", (Now() - m_state.registry_heard_at).count())
      .Field("store_contact_age_ms", m_context.election.contact_age().count())
      .Write();
  for (const WatchedPrefix& watched : m_watched_prefixes) {
    if (watched.prefix == m_context.schema.MinionPrefix()) {
      continue;
    }
    m_context.store.ReadAll(watched.prefix,
                            [weak = weak_from_this(), prefix = watched.prefix,
                             apply = watched.apply_items](const ReadAnswer& answer) {
                              const Self self = weak.lock();
                              if (self == nullptr || self->m_is_closed) {
                                return;
                              }
                              if (answer.result == ReadResult::kOk) {
                                (self.get()->*apply)(answer);
                                self->SchedulePlan();
                              } else {
                                LogReadFailure(prefix, answer.error);
                              }
                            });
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
    self->StartIfLoaded();
  });
}

void LeaderSession::ApplyProgressItems(const ReadAnswer& answer) {
  for (const StoreItem& item : answer.items) {
    const std::optional<JobId> id = ParseProgressKey(item.key);
    absl::StatusOr<JobProgress> progress = DecodeJobProgress(item.value);
    if (!id.has_value() || !progress.ok()) {
      LogEvent(LogLevel::kError, "leader", "a progress record can't be decoded")
          .Field("key", item.key)
          .Reason(progress.ok() ? "its key names no job" : std::string(progress.status().message()))
          .Write();
      continue;
    }
    TrackedJob& job = m_state.jobs[*id];
    job.progress = *std::move(progress);
    job.progress_revision = item.revision;
    job.is_end_stored = HasEnded(job.progress.state);
  }
}

void LeaderSession::ApplyAcceptedItems(const ReadAnswer& answer) {
  for (const StoreItem& item : answer.items) {
    ApplyAcceptedItem(item);
  }
}

void LeaderSession::ApplyAcceptedChange(const WatchedChange& change) {
  if (change.kind == WriteKind::kPut) {
    ApplyAcceptedItem(change.item);
  }
}

void LeaderSession::ApplyAcceptedItem(const StoreItem& item) {
  const std::optional<ParsedAcceptedKey> name = ParseAcceptedKey(item.key);
  if (!name.has_value()) {
    return;
  }
  if (name->kind == AcceptedKeyKind::kCancel) {
    TrackedJob& job = m_state.jobs[name->job];
    if (!job.is_cancelled) {
      job.is_cancelled = true;
      if (m_has_started) {
        Cancel(job);
      }
    }
    return;
  }
  absl::StatusOr<AcceptedJob> accepted = DecodeAcceptedJob(item.value);
  if (!accepted.ok()) {
    LogEvent(LogLevel::kError, "leader", "an accepted job can't be decoded")
        .Job(name->job)
        .Reason(std::string(accepted.status().message()))
        .Write();
    return;
  }
  TrackedJob& job = m_state.jobs[name->job];
  if (!job.accepted.id.empty()) {
    return;
  }
  job.accepted = *std::move(accepted);
  job.known_since = Now();
  if (job.progress_revision.value() == 0) {
    job.progress = InitialProgress(job.accepted);
  }
  SchedulePlan();
}

void LeaderSession::ApplyMinionItems(const ReadAnswer& answer) {
  for (auto& [id, minion] : m_state.minions) {
    const std::string key = m_context.schema.MinionKey(id);
    const bool is_listed = std::any_of(answer.items.begin(), answer.items.end(),
                                       [&key](const StoreItem& item) { return item.key == key; });
    if (!is_listed && minion.entry.has_value()) {
      UnlistMinion(id);
    }
  }
  for (const StoreItem& item : answer.items) {
    ApplyMinionItem(item);
  }
}

void LeaderSession::ApplyMinionChange(const WatchedChange& change) {
  if (change.kind == WriteKind::kDelete) {
    UnlistMinion(m_context.schema.MinionOfKey(change.item.key));
  } else {
    ApplyMinionItem(change.item);
  }
}

void LeaderSession::ApplyMinionItem(const StoreItem& item) {
  m_state.registry_heard_at = Now();
  const MinionId id = m_context.schema.MinionOfKey(item.key);
  const std::uint64_t hash = Hash64(m_context.schema.WithoutCounters(item.value));
  if (TrackedMinion* const known = m_state.FindMinion(id);
      known != nullptr && known->entry.has_value() && known->entry_hash == hash) {
    m_state.has_heartbeats = m_state.has_heartbeats || item.revision > known->entry_revision;
    known->entry_revision = std::max(known->entry_revision, item.revision);
    known->entry_heard_at = Now();
    return;
  }
  absl::StatusOr<MinionEntry> entry = m_context.schema.DecodeMinion(id, item.value);
  if (!entry.ok()) {
    LogEvent(LogLevel::kWarning, "leader", "a registration can't be used")
        .Field("minion", id.text())
        .Reason(std::string(entry.status().message()))
        .Write();
    UnlistMinion(id);
    return;
  }
  TrackedMinion& minion = m_state.minions[id];
  if (item.revision < minion.entry_revision) {
    return;
  }
  if (minion.entry.has_value() && minion.entry->state != entry->state) {
    LogEvent(LogLevel::kInfo, "leader", "minion changed its state")
        .Field("minion", id.text())
        .Field("state", entry->state == MinionState::kReady ? "ready" : "draining")
        .Write();
  }
  const bool is_new_life = minion.incarnation != entry->incarnation;
  minion.id = id;
  minion.address = entry->address;
  minion.entry = *std::move(entry);
  minion.entry_revision = item.revision;
  minion.entry_hash = hash;
  minion.entry_heard_at = Now();
  if (is_new_life && m_has_started) {
    m_supervisor->RequestHold(minion);
  }
  SchedulePlan();
}

void LeaderSession::UnlistMinion(const MinionId& id) {
  TrackedMinion* const minion = m_state.FindMinion(id);
  if (minion != nullptr && minion->entry.has_value()) {
    minion->entry.reset();
    LogEvent(LogLevel::kInfo, "leader", "minion left the registry")
        .Field("minion", id.text())
        .Field("runs", static_cast<std::int64_t>(minion->runs.size()))
        .Write();
  }
}

void LeaderSession::ApplyOperatorItems(const ReadAnswer& answer) {
  std::set<ZoneId> evacuated_zones;
  for (const StoreItem& item : answer.items) {
    if (item.key == m_context.schema.ManifestKey()) {
      m_context.view.Adopt(item);
    } else if (const std::optional<ZoneId> zone = m_context.schema.EvacuatedZone(item.key)) {
      evacuated_zones.insert(*zone);
    }
  }
  m_state.evacuated_zones = std::move(evacuated_zones);
}

void LeaderSession::ApplyOperatorChange(const WatchedChange& change) {
  if (change.item.key == m_context.schema.ManifestKey()) {
    if (change.kind == WriteKind::kPut) {
      m_context.view.Adopt(change.item);
    }
    return;
  }
  const std::optional<ZoneId> zone = m_context.schema.EvacuatedZone(change.item.key);
  if (!zone.has_value()) {
    return;
  }
  LogEvent(LogLevel::kInfo, "leader",
           change.kind == WriteKind::kPut ? "zone evacuated" : "zone taken back")
      .Zone(*zone)
      .Field("revision", change.item.revision.value())
      .Write();
  if (change.kind == WriteKind::kPut) {
    m_state.evacuated_zones.insert(*zone);
  } else {
    m_state.evacuated_zones.erase(*zone);
  }
  SchedulePlan();
}

bool LeaderSession::IsLoaded() const {
  return m_progress_is_loaded && m_context.view.manifest() != nullptr &&
         std::all_of(m_watched_prefixes.begin(), m_watched_prefixes.end(),
                     [](const WatchedPrefix& watched) { return watched.is_loaded; });
}

void LeaderSession::StartIfLoaded() {
  if (m_has_started || !IsLoaded()) {
    return;
  }
  m_has_started = true;
  std::int64_t unended = 0;
  for (auto& [id, job] : m_state.jobs) {
    if (job.accepted.id.empty()) {
      continue;
    }
    RestoreRuns(job);
    unended += HasEnded(job.progress.state) ? 0 : 1;
  }
  LogEvent(LogLevel::kInfo, "leader", "leading")
      .Field("token", m_state.term.token.value())
      .Field("jobs", static_cast<std::int64_t>(m_state.jobs.size()))
      .Field("unended", unended)
      .Field("minions", static_cast<std::int64_t>(m_state.minions.size()))
      .Field("reading_ms", (Now() - m_state.elected_at).count())
      .Write();
  m_supervisor->RequestFirstReports();
  for (auto& [id, job] : m_state.jobs) {
    if (job.is_cancelled && !job.accepted.id.empty()) {
      Cancel(job);
    } else if (HasEnded(job.progress.state)) {
      StopJob(job, "the job has ended");
    }
  }
  Tick();
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
      if (task.phase != TaskPhase::kPlaced) {
        continue;
      }
      TrackedMinion& minion = m_state.minions[task.minion];
      minion.id = task.minion;
      TrackedRun run;
      run.task = TaskName{job.accepted.id, 0, static_cast<int>(step), static_cast<int>(index)};
      run.attempt = task.attempt;
      run.minion = task.minion;
      run.incarnation = task.incarnation;
      run.needs = job.accepted.work.steps[step].needs;
      run.state = TrackedRunState::kOrdered;
      run.decided_at = Now();
      m_state.AddRun(minion, std::move(run));
    }
  }
}

}  // namespace papayalift
