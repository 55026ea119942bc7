#include <algorithm>

#include "libraries/leader/leader_session.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// Changes of the store that a new leader looks back on: some seconds of the heartbeats of all
/// minions, beside other writes.
constexpr std::int64_t kRecalledRevisionsPerMinion = 8;
constexpr std::int64_t kMinRecalledRevisions = 250;
constexpr std::int64_t kMaxRecalledRevisions = 4'000;
/// Where the store has forgotten that many changes, this part of them is asked for.
constexpr std::int64_t kRecallPart = 4;
/// After this time the call is not sent again, and losses are judged by what is known.
constexpr Milliseconds kMaxRecallTime{2'000};
/// The call returns what has changed before, and need not wait for more.
constexpr Milliseconds kRecallWait{10};

}  // namespace

void LeaderSession::ObserveAnnouncement(const MinionEntry& entry, const char* source) {
  const PlannedEnds::Change change = m_state.planned_ends.Observe(entry, Now());
  if (change == PlannedEnds::Change::kNone) {
    return;
  }
  int runs = 0;
  if (TrackedMinion* const minion = m_state.FindMinion(entry.id); minion != nullptr) {
    for (const auto& [task, run] : minion->runs) {
      if (run.incarnation == entry.incarnation) {
        StoreAnnouncement(run);
        ++runs;
      }
    }
  }
  LogEvent(LogLevel::kInfo, "leader",
           change == PlannedEnds::Change::kAnnounced ? "a minion's process has announced its end"
                                                     : "a minion's process stays after all")
      .Field("minion", entry.id.text())
      .Field("incarnation", entry.incarnation.value())
      .Field("heartbeat", entry.heartbeat.value())
      .Field("source", source)
      .Field("runs", runs)
      .Write();
}

void LeaderSession::StoreAnnouncement(const TrackedRun& run) {
  TrackedJob* const job = m_state.FindJob(run.task.job);
  TaskProgress* const task = m_state.FindTask(run.task);
  if (job == nullptr || task == nullptr || task->phase != TaskPhase::kPlaced ||
      task->attempt != run.attempt || task->incarnation != run.incarnation) {
    return;
  }
  const std::optional<HeartbeatNumber> announcement =
      m_state.planned_ends.AnnouncementOf(run.minion, run.incarnation);
  if (task->announced_end != announcement) {
    task->announced_end = announcement;
    m_journal->MarkDirty(*job);
  }
}

bool LeaderSession::HasUnexplainedPlacement() const {
  return std::any_of(m_state.minions.begin(), m_state.minions.end(), [this](const auto& entry) {
    const TrackedMinion& minion = entry.second;
    return std::any_of(minion.runs.begin(), minion.runs.end(), [this, &minion](const auto& item) {
      const TrackedRun& run = item.second;
      const bool is_registered =
          minion.entry.has_value() && minion.entry->incarnation == run.incarnation;
      return !is_registered && !m_state.planned_ends.IsAnnounced(run.minion, run.incarnation);
    });
  });
}

void LeaderSession::RecallAnnouncementsIfNeeded() {
  if (!HasUnexplainedPlacement()) {
    return;
  }
  m_recall_until = Now() + kMaxRecallTime;
  const std::int64_t minions = static_cast<std::int64_t>(m_state.minions.size());
  RecallAnnouncements(std::clamp(minions * kRecalledRevisionsPerMinion, kMinRecalledRevisions,
                                 kMaxRecalledRevisions));
}

void LeaderSession::RecallAnnouncements(std::int64_t revisions) {
  const auto registry = std::find_if(m_watched_prefixes.begin(), m_watched_prefixes.end(),
                                     [this](const WatchedPrefix& watched) {
                                       return watched.prefix == m_context.schema.MinionPrefix();
                                     });
  const Revision after(std::max<std::int64_t>(0, registry->known_revision.value() - revisions));
  m_context.store.Watch(registry->prefix, after, kRecallWait,
                        [weak = weak_from_this(), revisions](const WatchAnswer& answer) {
                          const Self self = weak.lock();
                          if (self != nullptr && !self->m_is_closed) {
                            self->OnAnnouncementsRecalled(revisions, answer);
                          }
                        });
}

void LeaderSession::OnAnnouncementsRecalled(std::int64_t revisions, const WatchAnswer& answer) {
  const bool may_retry = Now() < *m_recall_until;
  if (answer.result == WatchResult::kCompacted && revisions >= kRecallPart && may_retry) {
    RecallAnnouncements(revisions / kRecallPart);
    return;
  }
  if (answer.result == WatchResult::kFailed && may_retry) {
    RetryLater([revisions](LeaderSession& self) { self.RecallAnnouncements(revisions); });
    return;
  }
  m_recall_until.reset();
  for (const WatchedChange& change : answer.changes) {
    if (change.kind != WriteKind::kPut) {
      continue;
    }
    const absl::StatusOr<MinionEntry> entry = m_context.schema.DecodeMinion(
        m_context.schema.MinionOfKey(change.item.key), change.item.value);
    if (entry.ok() && IsNamed(entry->service)) {
      ObserveAnnouncement(*entry, "history");
    }
  }
  LogEvent(LogLevel::kInfo, "leader", "the registry's changes before the term were read")
      .Field("changes", static_cast<std::int64_t>(answer.changes.size()))
      .Field("revisions", revisions)
      .Field("term_ms", (Now() - m_state.elected_at).count())
      .Reason(answer.result == WatchResult::kOk ? "a task is on a process that has left"
                                                : "the store can't tell them any more")
      .Write();
  JudgeSuspects(JudgementScope::kDeferred);
  ResolveOpenLosses();
}

}  // namespace papayalift
