#include "libraries/leader/lease_recorder.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/journal/journal_keys.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// Time between the first failed call to a minion and its entry. A call that is repeated meanwhile
/// tells whether only one connection was lost.
constexpr Milliseconds kAddDelay{400};
/// Minions that answer again at about the same time share one write.
constexpr Milliseconds kUrgentDelay{8};
/// Each write wakes the watches of all nodes.
constexpr Milliseconds kMinWriteInterval{100};
constexpr Milliseconds kRetryDelay{150};
/// While leases of listed minions are left, the record is written anew with what is left by then: a
/// process that starts counts from when it first reads it.
constexpr Milliseconds kRefreshInterval{500};
/// If the last confirmation of the term is older, the store counts as away.
constexpr Milliseconds kMaxConfirmationAge{1'000};
/// Bounds the size of the record. Minions beyond it are waited for as long as unlisted ones.
constexpr std::size_t kMaxSilentMinions = 4'000;

/// Entries get higher numbers than this. Processes may remember entries of a record that was lost;
/// none has a higher number, as each write takes a revision.
std::int64_t FirstNumberOf(const Term& term) {
  return term.token.value() * static_cast<std::int64_t>(kMaxSilentMinions);
}

}  // namespace

LeaseRecorder::LeaseRecorder(Timers& timers, StorePort& store, LeaderState& state,
                             const TermHistory& history, Milliseconds longest_lease,
                             LeaseRecorderCallbacks callbacks)
    : m_timers(timers),
      m_store(store),
      m_state(state),
      m_history(history),
      m_longest_lease(longest_lease),
      m_callbacks(std::move(callbacks)),
      m_other_leases_end(state.elected_at + longest_lease) {}

void LeaseRecorder::Load() {
  m_store.Read(kLeaseRecordKey, [weak = weak_from_this()](const ReadAnswer& answer) {
    const std::shared_ptr<LeaseRecorder> self = weak.lock();
    if (self == nullptr || self->m_is_closed) {
      return;
    }
    if (answer.result != ReadResult::kOk) {
      self->RetryLater([](LeaseRecorder& recorder) { recorder.Load(); }, answer.error);
      return;
    }
    self->Inherit(answer);
    self->m_is_loaded = true;
    self->m_callbacks.on_loaded();
  });
}

void LeaseRecorder::Open(const std::set<MinionId>& minions) {
  m_last_number = std::max(m_last_number, FirstNumberOf(m_state.term));
  m_is_opening = true;
  m_added.insert(minions.begin(), minions.end());
  StartWrite();
}

void LeaseRecorder::Inherit(const ReadAnswer& answer) {
  if (answer.items.empty()) {
    return;
  }
  m_had_record = true;
  m_revision = answer.items.front().revision;
  const absl::StatusOr<LeaseRecord> record = DecodeLeaseRecord(answer.items.front().value);
  if (!record.ok()) {
    LogEvent(LogLevel::kError, "leases",
             "the lease record can't be decoded; waiting for all leases")
        .Reason(std::string(record.status().message()))
        .Write();
    return;
  }
  m_last_number = record->last_number;
  if (record->token < m_history.last_term_without_record()) {
    LogEvent(LogLevel::kWarning, "leases", "a term without a lease record has followed")
        .Field("token", record->token.value())
        .Field("later_token", m_history.last_term_without_record().value())
        .Write();
    return;
  }
  // No leader between the last one that wrote the record and this one has granted anything.
  const Milliseconds term_ended_at =
      m_history.TermSeenAfter(record->token).value_or(m_state.elected_at);
  m_other_leases_end = std::min(term_ended_at, m_state.elected_at) + m_longest_lease;
  for (const SilentMinion& silent : record->silent_minions) {
    m_former_leases_end[silent.minion] =
        m_history.LeasesEnd(silent).value_or(Now() + silent.leases_left);
    m_stored[silent.minion] = silent;
  }
  m_listed_leases_end = m_former_leases_end;
  UpdateState();
  LogEvent(LogLevel::kInfo, "leases", "lease record read")
      .Field("token", record->token.value())
      .Field("silent_minions", static_cast<std::int64_t>(m_stored.size()))
      .Field("other_leases_left_ms", (m_other_leases_end - Now()).count())
      .Write();
}

Milliseconds LeaseRecorder::FormerLeasesEnd(const MinionId& minion) const {
  if (m_state.is_first_leader) {
    return m_state.elected_at;
  }
  const auto found = m_former_leases_end.find(minion);
  return found == m_former_leases_end.end() ? m_other_leases_end : found->second;
}

bool LeaseRecorder::IsStored(const LeaseRecord& record) const {
  return record.silent_minions.size() == m_stored.size() &&
         std::all_of(record.silent_minions.begin(), record.silent_minions.end(),
                     [this](const SilentMinion& silent) {
                       const auto stored = m_stored.find(silent.minion);
                       return stored != m_stored.end() && stored->second == silent;
                     });
}

bool LeaseRecorder::IsListed(const MinionId& minion) const {
  return m_state.listed_as_silent.contains(minion);
}

void LeaseRecorder::AddSilent(const MinionId& minion) {
  const bool is_removed = m_removed.erase(minion) > 0;
  if ((!IsListed(minion) || is_removed) && m_added.insert(minion).second) {
    ScheduleWrite(kAddDelay);
  }
}

void LeaseRecorder::RemoveHeard(const MinionId& minion) { Remove(minion, kUrgentDelay); }

void LeaseRecorder::RemoveNeedless(Milliseconds min_silence) {
  for (const MinionId& id : m_state.listed_as_silent) {
    const TrackedMinion* const minion = m_state.FindMinion(id);
    const bool is_silent = minion != nullptr && minion->silence.has_value() &&
                           Now() - minion->silence->since < min_silence;
    if (minion == nullptr || (minion->runs.empty() && !is_silent)) {
      Remove(id, kAddDelay);
    }
  }
}

void LeaseRecorder::Remove(const MinionId& minion, Milliseconds delay) {
  m_added.erase(minion);
  if (IsListed(minion)) {
    m_removed.insert(minion);
    ScheduleWrite(delay);
  }
}

void LeaseRecorder::ScheduleWrite(Milliseconds delay) {
  const Milliseconds due = std::max(Now() + delay, m_last_write_at + kMinWriteInterval);
  if (m_write_timer != 0 && m_write_due <= due) {
    return;
  }
  m_timers.Cancel(m_write_timer);
  m_write_due = due;
  m_write_timer = m_timers.After(due - Now(), [weak = weak_from_this()] {
    if (const std::shared_ptr<LeaseRecorder> self = weak.lock(); self != nullptr) {
      self->m_write_timer = 0;
      self->StartWrite();
    }
  });
}

void LeaseRecorder::StartWrite() {
  // A write that is not answered yet is followed by another if anything is left to be written.
  if (m_is_closed || !m_is_opening || m_write.has_value()) {
    return;
  }
  const bool is_store_away =
      m_is_open && Now() - m_callbacks.term_confirmed_at() > kMaxConfirmationAge;
  if (is_store_away && m_removed.empty()) {
    // NOTE: while the store is away nothing is listed, as it could not be removed again either, and
    // a minion that answers would get no lease.
    ScheduleWrite(kAddDelay);
    return;
  }
  if (is_store_away) {
    m_added.clear();
  }
  LeaseRecord record = BuildRecord();
  if (m_is_open && IsStored(record)) {
    return;
  }
  std::string text = EncodeLeaseRecord(record);
  m_write = Write{std::move(record), std::move(text)};
  UpdateState();
  SendWrite();
}

LeaseRecord LeaseRecorder::BuildRecord() {
  LeaseRecord record;
  record.token = m_state.term.token;
  for (const auto& [id, silent] : m_stored) {
    if (!m_removed.contains(id)) {
      record.silent_minions.push_back(WithLeasesLeftNow(silent));
    }
  }
  for (const MinionId& id : m_added) {
    const std::optional<Milliseconds> left = m_callbacks.leases_left(id);
    const bool is_kept = m_stored.contains(id) && !m_removed.contains(id);
    if (left.has_value() && !is_kept && record.silent_minions.size() < kMaxSilentMinions) {
      record.silent_minions.push_back(SilentMinion{id, ++m_last_number, *left});
      m_listed_leases_end[id] = Now() + *left;
    }
  }
  record.last_number = m_last_number;
  m_added.clear();
  m_removed.clear();
  return record;
}

SilentMinion LeaseRecorder::WithLeasesLeftNow(SilentMinion silent) const {
  const Milliseconds left = m_listed_leases_end.at(silent.minion) - Now();
  silent.leases_left = std::clamp(left, Milliseconds(0), silent.leases_left);
  return silent;
}

void LeaseRecorder::SendWrite() {
  m_write->sent_at = Now();
  m_last_write_at = Now();
  Transaction transaction;
  transaction.Expect(kTermKey, m_state.term.revision)
      .Expect(kLeaseRecordKey, m_revision)
      .Put(kLeaseRecordKey, m_write->text);
  m_store.Commit(transaction, [weak = weak_from_this()](const CommitAnswer& answer) {
    const std::shared_ptr<LeaseRecorder> self = weak.lock();
    if (self != nullptr && !self->m_is_closed) {
      self->OnAnswer(answer);
    }
  });
}

void LeaseRecorder::OnAnswer(const CommitAnswer& answer) {
  switch (answer.result) {
    case TransactionResult::kApplied:
      m_callbacks.on_confirmed(m_write->sent_at);
      FinishWrite(answer.revision);
      return;
    case TransactionResult::kConflict:
      OnConflict(answer);
      return;
    case TransactionResult::kUnclear:
    case TransactionResult::kNotSent:
      // The same write is sent again, so that its answer also shows whether the first was applied.
      RetryLater([](LeaseRecorder& recorder) { recorder.SendWrite(); }, answer.error);
      return;
  }
}

void LeaseRecorder::OnConflict(const CommitAnswer& answer) {
  const StoreItem* term = nullptr;
  const StoreItem* record = nullptr;
  for (const StoreItem& item : answer.items) {
    (item.key == kTermKey ? term : record) = &item;
  }
  if (term == nullptr || term->revision != m_state.term.revision) {
    m_callbacks.on_superseded("a write found another term in the store");
    return;
  }
  if (record == nullptr || record->value != m_write->text) {
    m_callbacks.on_superseded("the lease record was written by another leader");
    return;
  }
  m_callbacks.on_confirmed(m_write->sent_at);
  FinishWrite(record->revision);
}

void LeaseRecorder::FinishWrite(Revision revision) {
  m_revision = revision;
  const std::map<MinionId, SilentMinion> before = std::exchange(m_stored, {});
  for (const SilentMinion& silent : m_write->record.silent_minions) {
    m_stored[silent.minion] = silent;
  }
  m_write.reset();
  UpdateState();
  if (!m_added.empty() || !m_removed.empty()) {
    ScheduleWrite(kUrgentDelay);
  } else if (std::any_of(m_stored.begin(), m_stored.end(), [](const auto& entry) {
               return entry.second.leases_left > Milliseconds(0);
             })) {
    ScheduleWrite(kRefreshInterval);
  }
  if (!std::exchange(m_is_open, true)) {
    m_state.may_grant_leases = true;
    m_callbacks.on_opened();
  }
  for (const auto& [id, silent] : before) {
    if (!m_is_closed && !IsListed(id)) {
      m_callbacks.on_removed(id);
    }
  }
}

void LeaseRecorder::RetryLater(std::function<void(LeaseRecorder&)> action,
                               const std::string& error) {
  LogEvent(LogLevel::kWarning, "leases", "the lease record could not be read or stored; retrying")
      .Reason(error)
      .Write();
  m_timers.After(kRetryDelay, [weak = weak_from_this(), action = std::move(action)] {
    const std::shared_ptr<LeaseRecorder> self = weak.lock();
    if (self != nullptr && !self->m_is_closed) {
      action(*self);
    }
  });
}

/// A minion counts as listed while the store may hold a record that lists it.
void LeaseRecorder::UpdateState() {
  m_state.listed_as_silent.clear();
  for (const auto& [id, silent] : m_stored) {
    m_state.listed_as_silent.insert(id);
  }
  if (m_write.has_value()) {
    for (const SilentMinion& silent : m_write->record.silent_minions) {
      m_state.listed_as_silent.insert(silent.minion);
    }
  }
}

}  // namespace papayalift
