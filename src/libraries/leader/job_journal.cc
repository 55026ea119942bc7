#include "libraries/leader/job_journal.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libraries/journal/job_progress_codec.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/leader/minion_usability.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// Changes of a job within this time share one write.
constexpr Milliseconds kBatchDelay{8};
constexpr Milliseconds kRetryDelay{150};
/// The store's limit per transaction: conditions, writes and deletions together.
constexpr std::size_t kMaxTransactionEntries = 32;
/// Entries kept free for the condition on the cancellation and the deletion of the waiting key,
/// which are added last.
constexpr std::size_t kReservedEntries = 2;

const StoreItem* FindItem(const std::vector<StoreItem>& items, const std::string& key) {
  for (const StoreItem& item : items) {
    if (item.key == key) {
      return &item;
    }
  }
  return nullptr;
}

}  // namespace

JobJournal::JobJournal(Timers& timers, StorePort& store, const FleetSchema& schema,
                       ManifestView& view, LeaderState& state, Milliseconds registration_freshness,
                       JournalCallbacks callbacks)
    : m_timers(timers),
      m_store(store),
      m_schema(schema),
      m_view(view),
      m_state(state),
      m_registration_freshness(registration_freshness),
      m_callbacks(std::move(callbacks)) {}

void JobJournal::MarkDirty(TrackedJob& job) {
  if (!job.is_dirty) {
    job.is_dirty = true;
    m_dirty_jobs.push_back(job.accepted.id);
  }
  if (!m_is_flush_scheduled && !m_is_closed) {
    m_is_flush_scheduled = true;
    m_timers.After(kBatchDelay, [weak = weak_from_this()] {
      if (const std::shared_ptr<JobJournal> self = weak.lock(); self != nullptr) {
        self->Flush();
      }
    });
  }
}

void JobJournal::Flush() {
  m_is_flush_scheduled = false;
  for (const JobId& id : std::exchange(m_dirty_jobs, {})) {
    TrackedJob* const job = m_state.FindJob(id);
    if (job != nullptr && job->is_dirty && job->is_writable()) {
      StartWrite(*job);
    }
  }
}

void JobJournal::StartWrite(TrackedJob& job) {
  if (m_is_closed) {
    return;
  }
  job.is_dirty = false;
  job.write = BuildWrite(job);
  SendWrite(job);
}

ProgressWrite JobJournal::BuildWrite(TrackedJob& job) const {
  ProgressWrite write;
  const JobId& id = job.accepted.id;
  write.value = EncodeJobProgress(job.progress);
  write.ends = std::exchange(job.unsaved_ends, {});
  write.transaction.Expect(kTermKey, m_state.term.revision)
      .Expect(AcceptedKey(id), job.accepted_revision)
      .Expect(ProgressKey(id), job.progress_revision)
      .Put(ProgressKey(id), write.value);
  AddPlacementConditions(job, write);
  const WorkState state = job.progress.state;
  write.stores_end = HasEnded(state);
  const bool ends_uncancelled = state == WorkState::kDone || state == WorkState::kFailed;
  if (!write.placements.empty() || (ends_uncancelled && !job.is_end_stored)) {
    write.transaction.Expect(CancelKey(id), Revision(0));
  }
  if (job.has_waiting_key && (job.has_started || HasEnded(state))) {
    write.transaction.Delete(WaitingKey(job.accepted.queue, id));
    write.removes_waiting_key = true;
  }
  return write;
}

void JobJournal::AddPlacementConditions(TrackedJob& job, ProgressWrite& write) const {
  std::set<MinionId> minions;
  std::set<ZoneId> zones;
  for (const StepProgress& step : job.progress.steps) {
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
      const TaskProgress& task = step.tasks[index];
      const TaskName name{job.accepted.id, 0, static_cast<int>(&step - job.progress.steps.data()),
                          static_cast<int>(index)};
      const TrackedRun* const run = m_state.FindRun(name, task.attempt);
      if (task.phase == TaskPhase::kPlaced && run != nullptr &&
          run->state == TrackedRunState::kDecided) {
        write.placements.push_back(name);
        minions.insert(run->minion);
      }
    }
  }
  if (write.placements.empty()) {
    return;
  }
  write.transaction.Expect(m_schema.ManifestKey(), m_view.revision());
  for (const MinionId& id : minions) {
    const TrackedMinion& minion = *m_state.FindMinion(id);
    if (minion.entry.has_value()) {
      zones.insert(minion.entry->zone);
    }
  }
  for (const ZoneId& zone : zones) {
    write.transaction.Expect(m_schema.EvacuationKey(zone), Revision(0));
  }
  for (const MinionId& id : minions) {
    const TrackedMinion& minion = *m_state.FindMinion(id);
    if (Now() - RegistrationKnownAt(m_state, minion) < m_registration_freshness / 2) {
      // NOTE: half of the time is left for the write and the orders. Each heartbeat of a minion
      // gives its registration a new revision, so comparing it would refuse many placements for no
      // reason.
      continue;
    }
    const std::size_t entries =
        write.transaction.comparisons().size() + write.transaction.writes().size();
    if (entries + kReservedEntries >= kMaxTransactionEntries) {
      // NOTE: registrations beyond the limit are not compared. If they are not known lately by the
      // time of the orders, no order is sent and the registry is read anew.
      break;
    }
    write.compared_minions.push_back(id);
    write.transaction.Expect(m_schema.MinionKey(id), minion.entry_revision);
  }
}

void JobJournal::SendWrite(TrackedJob& job) {
  job.write->sent_at = Now();
  if (!job.write->may_have_applied) {
    job.write->conditions_held_at = job.write->sent_at;
  }
  m_store.Commit(job.write->transaction,
                 [weak = weak_from_this(), id = job.accepted.id](const CommitAnswer& answer) {
                   const std::shared_ptr<JobJournal> self = weak.lock();
                   if (self != nullptr && !self->m_is_closed) {
                     self->OnAnswer(id, answer);
                   }
                 });
}

void JobJournal::OnAnswer(const JobId& id, const CommitAnswer& answer) {
  TrackedJob& job = *m_state.FindJob(id);
  switch (answer.result) {
    case TransactionResult::kApplied:
      m_callbacks.on_confirmed(job.write->sent_at);
      // Had an earlier send been applied, this one would have met its record.
      job.write->conditions_held_at = job.write->sent_at;
      FinishWrite(job, answer.revision);
      return;
    case TransactionResult::kConflict:
      OnConflict(job, answer);
      return;
    case TransactionResult::kUnclear:
      job.write->may_have_applied = true;
      RetryWriteLater(job, answer);
      return;
    case TransactionResult::kNotSent:
      RetryWriteLater(job, answer);
      return;
  }
}

void JobJournal::RetryWriteLater(TrackedJob& job, const CommitAnswer& answer) {
  LogEvent(LogLevel::kWarning, "journal", "progress could not be stored; retrying")
      .Job(job.accepted.id)
      .Reason(answer.error)
      .Field("may_have_applied", job.write->may_have_applied ? 1 : 0)
      .Write();
  // Resends the identical write, so that its answer also shows whether the first was applied.
  m_timers.After(kRetryDelay, [weak = weak_from_this(), id = job.accepted.id] {
    const std::shared_ptr<JobJournal> self = weak.lock();
    if (self != nullptr && !self->m_is_closed) {
      self->SendWrite(*self->m_state.FindJob(id));
    }
  });
}

void JobJournal::OnConflict(TrackedJob& job, const CommitAnswer& answer) {
  const StoreItem* const record = FindItem(answer.items, ProgressKey(job.accepted.id));
  const Revision record_revision = record == nullptr ? Revision(0) : record->revision;
  if (record != nullptr && record->value == job.write->value &&
      record_revision > job.progress_revision) {
    FinishWrite(job, record_revision);
    return;
  }
  const StoreItem* const term = FindItem(answer.items, kTermKey);
  if (term == nullptr || term->revision != m_state.term.revision) {
    m_callbacks.on_superseded("a write found another term in the store");
    return;
  }
  const StoreItem* const accepted = FindItem(answer.items, AcceptedKey(job.accepted.id));
  const bool is_accepted = accepted != nullptr && accepted->revision == job.accepted_revision;
  if (is_accepted && record_revision != job.progress_revision) {
    m_callbacks.on_superseded("a progress record was written by another leader");
    return;
  }
  m_callbacks.on_confirmed(job.write->sent_at);
  const ProgressWrite write = *std::exchange(job.write, std::nullopt);
  job.unsaved_ends.insert(job.unsaved_ends.begin(), write.ends.begin(), write.ends.end());
  m_callbacks.on_conflict(job, write, answer.items);
  if (job.is_record_gone) {
    return;
  }
  // The job may have become dirty during the write without a flush being scheduled for it. Clearing
  // the flag makes MarkDirty() schedule one.
  job.is_dirty = false;
  MarkDirty(job);
}

void JobJournal::FinishWrite(TrackedJob& job, Revision revision) {
  m_state.confirmed_revision = std::max(m_state.confirmed_revision, revision);
  const ProgressWrite write = *std::exchange(job.write, std::nullopt);
  job.progress_revision = revision;
  job.is_end_stored = write.stores_end;
  if (write.removes_waiting_key) {
    job.has_waiting_key = false;
  }
  m_callbacks.on_stored(job, write);
  if (job.is_dirty) {
    job.is_dirty = false;
    MarkDirty(job);
  }
}

}  // namespace papayalift
