#include <algorithm>
#include <utility>

#include "libraries/journal/accepted_job_codec.h"
#include "libraries/journal/job_progress_codec.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/leader/leader_session.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

constexpr Milliseconds kFeedWait{2'000};
constexpr Milliseconds kFeedRetryPause{200};

void LogReadFailure(const std::string& prefix, const std::string& error) {
  LogEvent(LogLevel::kWarning, "leader", "the store could not be read; trying again")
      .Field("prefix", prefix)
      .Reason(error)
      .Write();
}

}  // namespace

void LeaderSession::LoadFeed(std::size_t index) {
  m_context.store.ReadAll(m_feeds[index].prefix,
                          [weak = weak_from_this(), index](const ReadAnswer& answer) {
                            const Self self = weak.lock();
                            if (self != nullptr && !self->m_is_closed) {
                              self->OnFeedLoaded(index, answer);
                            }
                          });
}

void LeaderSession::OnFeedLoaded(std::size_t index, const ReadAnswer& answer) {
  Feed& feed = m_feeds[index];
  if (answer.result != ReadResult::kOk) {
    LogReadFailure(feed.prefix, answer.error);
    RetryLater([index](LeaderSession& self) { self.LoadFeed(index); });
    return;
  }
  (this->*feed.take_items)(answer);
  feed.is_loaded = true;
  WatchFeed(index, answer.at);
  BeginIfReady();
  PlanSoon();
}

void LeaderSession::WatchFeed(std::size_t index, Revision after) {
  m_context.store.Watch(m_feeds[index].prefix, after, kFeedWait,
                        [weak = weak_from_this(), index, after](const WatchAnswer& answer) {
                          const Self self = weak.lock();
                          if (self != nullptr && !self->m_is_closed) {
                            self->OnFeedChanged(index, after, answer);
                          }
                        });
}

void LeaderSession::OnFeedChanged(std::size_t index, Revision after, const WatchAnswer& answer) {
  const Feed& feed = m_feeds[index];
  if (answer.result == WatchResult::kForgotten) {
    LogEvent(LogLevel::kWarning, "leader", "the store has forgotten changes; reading anew")
        .Field("prefix", feed.prefix)
        .Write();
    LoadFeed(index);
    return;
  }
  if (answer.result == WatchResult::kFailed) {
    LogReadFailure(feed.prefix, answer.error);
    RetryLater([index, after](LeaderSession& self) { self.WatchFeed(index, after); });
    return;
  }
  for (const WatchedChange& change : answer.changes) {
    (this->*feed.take_change)(change);
  }
  if (!answer.changes.empty()) {
    BeginIfReady();
    PlanSoon();
  }
  WatchFeed(index, std::max(after, answer.at));
}

void LeaderSession::RetryLater(std::function<void(LeaderSession&)> action) {
  m_context.timers.After(kFeedRetryPause, [weak = weak_from_this(), action = std::move(action)] {
    const Self self = weak.lock();
    if (self != nullptr && !self->m_is_closed) {
      action(*self);
    }
  });
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
    self->TakeProgress(answer);
    self->m_progress_is_loaded = true;
    self->BeginIfReady();
  });
}

void LeaderSession::TakeProgress(const ReadAnswer& answer) {
  for (const StoreItem& item : answer.items) {
    const std::optional<JobId> id = ParseProgressKey(item.key);
    absl::StatusOr<JobProgress> progress = DecodeJobProgress(item.value);
    if (!id.has_value() || !progress.ok()) {
      LogEvent(LogLevel::kError, "leader", "a progress record can't be read")
          .Field("key", item.key)
          .Reason(progress.ok() ? "no job in its key" : std::string(progress.status().message()))
          .Write();
      continue;
    }
    TrackedJob& job = m_state.jobs[*id];
    job.progress = *std::move(progress);
    job.progress_revision = item.revision;
    job.is_end_stored = HasEnded(job.progress.state);
  }
}

void LeaderSession::TakeAcceptedItems(const ReadAnswer& answer) {
  for (const StoreItem& item : answer.items) {
    TakeAccepted(item);
  }
}

void LeaderSession::TakeAcceptedChange(const WatchedChange& change) {
  if (change.kind == WriteKind::kPut) {
    TakeAccepted(change.item);
  }
}

void LeaderSession::TakeAccepted(const StoreItem& item) {
  const std::optional<AcceptedKeyName> name = ParseAcceptedKey(item.key);
  if (!name.has_value()) {
    return;
  }
  if (name->kind == AcceptedKeyKind::kCancel) {
    TrackedJob& job = m_state.jobs[name->job];
    if (!job.is_cancelled) {
      job.is_cancelled = true;
      if (m_has_begun) {
        Cancel(job);
      }
    }
    return;
  }
  absl::StatusOr<AcceptedJob> accepted = DecodeAcceptedJob(item.value);
  if (!accepted.ok()) {
    LogEvent(LogLevel::kError, "leader", "an accepted job can't be read")
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
    job.progress = NewProgress(job.accepted);
  }
}

void LeaderSession::TakeMinionItems(const ReadAnswer& answer) {
  for (auto& [id, minion] : m_state.minions) {
    const std::string key = m_context.directory.MinionKey(id);
    const bool is_listed = std::any_of(answer.items.begin(), answer.items.end(),
                                       [&key](const StoreItem& item) { return item.key == key; });
    if (!is_listed && minion.entry.has_value()) {
      DropMinion(id);
    }
  }
  for (const StoreItem& item : answer.items) {
    TakeMinion(item);
  }
}

void LeaderSession::TakeMinionChange(const WatchedChange& change) {
  if (change.kind == WriteKind::kDelete) {
    DropMinion(m_context.directory.MinionOfKey(change.item.key));
  } else {
    TakeMinion(change.item);
  }
}

void LeaderSession::TakeMinion(const StoreItem& item) {
  const MinionId id = m_context.directory.MinionOfKey(item.key);
  absl::StatusOr<MinionEntry> entry = m_context.directory.DecodeMinion(id, item.value);
  if (!entry.ok()) {
    LogEvent(LogLevel::kWarning, "leader", "a registration names no minion to use")
        .Field("minion", id.text())
        .Reason(std::string(entry.status().message()))
        .Write();
    DropMinion(id);
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
  const bool is_new_life = minion.life != entry->life;
  minion.id = id;
  minion.address = entry->address;
  minion.entry = *std::move(entry);
  minion.entry_revision = item.revision;
  if (is_new_life && m_has_begun) {
    m_supervisor->Hold(minion);
  }
}

void LeaderSession::DropMinion(const MinionId& id) {
  TrackedMinion* const minion = m_state.FindMinion(id);
  if (minion != nullptr && minion->entry.has_value()) {
    minion->entry.reset();
    LogEvent(LogLevel::kInfo, "leader", "minion left the registry")
        .Field("minion", id.text())
        .Field("runs", static_cast<std::int64_t>(minion->runs.size()))
        .Write();
  }
}

void LeaderSession::TakeOperatorItems(const ReadAnswer& answer) {
  std::set<ZoneId> evacuated;
  for (const StoreItem& item : answer.items) {
    if (item.key == m_context.directory.ManifestKey()) {
      m_context.view.Adopt(item);
    } else if (const std::optional<ZoneId> zone = m_context.directory.EvacuatedZone(item.key)) {
      evacuated.insert(*zone);
    }
  }
  m_state.evacuated = std::move(evacuated);
}

void LeaderSession::TakeOperatorChange(const WatchedChange& change) {
  if (change.item.key == m_context.directory.ManifestKey()) {
    if (change.kind == WriteKind::kPut) {
      m_context.view.Adopt(change.item);
    }
    return;
  }
  const std::optional<ZoneId> zone = m_context.directory.EvacuatedZone(change.item.key);
  if (!zone.has_value()) {
    return;
  }
  LogEvent(LogLevel::kInfo, "leader",
           change.kind == WriteKind::kPut ? "zone evacuated" : "zone taken back")
      .Zone(*zone)
      .Field("revision", change.item.revision.value())
      .Write();
  if (change.kind == WriteKind::kPut) {
    m_state.evacuated.insert(*zone);
  } else {
    m_state.evacuated.erase(*zone);
  }
}

bool LeaderSession::IsReady() const {
  return m_progress_is_loaded && m_context.view.manifest() != nullptr &&
         std::all_of(m_feeds.begin(), m_feeds.end(),
                     [](const Feed& feed) { return feed.is_loaded; });
}

void LeaderSession::BeginIfReady() {
  if (m_has_begun || !IsReady()) {
    return;
  }
  m_has_begun = true;
  std::int64_t unended = 0;
  for (auto& [id, job] : m_state.jobs) {
    if (job.accepted.id.empty()) {
      continue;
    }
    InheritRuns(job);
    unended += HasEnded(job.progress.state) ? 0 : 1;
  }
  LogEvent(LogLevel::kInfo, "leader", "leading")
      .Field("token", m_state.term.token.value())
      .Field("jobs", static_cast<std::int64_t>(m_state.jobs.size()))
      .Field("unended", unended)
      .Field("minions", static_cast<std::int64_t>(m_state.minions.size()))
      .Field("reading_ms", (Now() - m_state.elected_at).count())
      .Write();
  for (auto& [id, minion] : m_state.minions) {
    if (minion.entry.has_value()) {
      m_supervisor->Hold(minion);
    }
  }
  for (auto& [id, job] : m_state.jobs) {
    if (job.is_cancelled && !job.accepted.id.empty()) {
      Cancel(job);
    } else if (HasEnded(job.progress.state)) {
      StopJob(job, "the job has ended");
    }
  }
  Tick();
}

void LeaderSession::InheritRuns(TrackedJob& job) {
  // It may be gone already; removing it again does no harm.
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
      run.life = task.life;
      run.needs = job.accepted.work.steps[step].needs;
      run.state = TrackedRunState::kOrdered;
      run.decided_at = Now();
      m_state.AddRun(minion, std::move(run));
    }
  }
}

}  // namespace papayalift
