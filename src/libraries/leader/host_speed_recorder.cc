#include "libraries/leader/host_speed_recorder.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libraries/journal/journal_keys.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

constexpr Milliseconds kMinWriteInterval{5'000};
constexpr Milliseconds kRetryDelay{1'000};
/// A machine whose speed has changed by this factor since it was stored is written anew.
const double kNotableChangeLog = std::log(1.2);

/// The first part has the plain key, the others numbers.
std::string PartKey(std::size_t part) {
  return part == 0 ? kSpeedsKey : std::string(kSpeedsKey) + '/' + std::to_string(part);
}

bool DiffersNotably(const HostSpeed& left, const HostSpeed& right) {
  return left.fingerprint != right.fingerprint ||
         std::abs(left.log_speed - right.log_speed) > kNotableChangeLog;
}

}  // namespace

ClockReading HostSpeedRecorder::Now() const {
  return ClockReading{m_timers.clock().Now(), m_timers.clock().WallNow()};
}

void HostSpeedRecorder::Load() {
  m_store.ReadAll(kSpeedsKey, [weak = weak_from_this()](const ReadAnswer& answer) {
    const std::shared_ptr<HostSpeedRecorder> self = weak.lock();
    if (self == nullptr || self->m_is_closed) {
      return;
    }
    if (answer.result == ReadResult::kOk) {
      self->Inherit(answer);
      return;
    }
    self->m_timers.After(kRetryDelay, [weak] {
      const std::shared_ptr<HostSpeedRecorder> later = weak.lock();
      if (later != nullptr && !later->m_is_closed) {
        later->Load();
      }
    });
  });
}

void HostSpeedRecorder::Inherit(const ReadAnswer& answer) {
  m_is_loaded = true;
  for (const StoreItem& item : answer.items) {
    m_revisions[item.key] = item.revision;
    const absl::StatusOr<HostSpeedRecord> record = DecodeHostSpeeds(item.value, Now());
    if (!record.ok()) {
      LogEvent(LogLevel::kWarning, "speeds", "a record of speeds can't be decoded; learning anew")
          .Field("key", item.key)
          .Reason(std::string(record.status().message()))
          .Write();
      continue;
    }
    for (const auto& [address, speed] : record->hosts) {
      m_state.host_speeds.Restore(address, speed);
      m_stored.hosts[address] = speed;
    }
    for (const auto& [queue, known] : record->queues) {
      m_state.queue_durations.Restore(queue, known);
    }
  }
  for (const auto& [id, minion] : m_state.minions) {
    if (minion.entry.has_value()) {
      m_state.host_speeds.Confirm(minion.host);
    }
  }
  if (!answer.items.empty()) {
    LogEvent(LogLevel::kInfo, "speeds", "record of speeds read")
        .Field("machines", static_cast<std::int64_t>(m_stored.hosts.size()))
        .Write();
  }
}

HostSpeedRecord HostSpeedRecorder::BuildRecord() const {
  HostSpeedRecord record;
  for (const auto& [address, speed] : m_state.host_speeds.hosts()) {
    if (m_state.host_speeds.SpreadOf(speed.service).is_uneven && speed.weight >= 1) {
      record.hosts.emplace_hint(record.hosts.end(), address, speed);
    }
  }
  if (!record.hosts.empty()) {
    record.queues = m_state.queue_durations.queues();
  }
  return record;
}

bool HostSpeedRecorder::DiffersNotably(const HostSpeedRecord& record) const {
  return record.hosts.size() != m_stored.hosts.size() ||
         std::any_of(record.hosts.begin(), record.hosts.end(), [this](const auto& entry) {
           const auto stored = m_stored.hosts.find(entry.first);
           return stored == m_stored.hosts.end() ||
                  papayalift::DiffersNotably(entry.second, stored->second);
         });
}

void HostSpeedRecorder::WriteIfDue() {
  if (m_is_closed || !m_is_loaded || m_is_write_in_flight || Now().steady < m_next_check_at) {
    return;
  }
  m_next_check_at = Now().steady + kMinWriteInterval;
  const HostSpeedRecord record = BuildRecord();
  if (!record.hosts.empty() && DiffersNotably(record)) {
    Write(record);
  }
}

void HostSpeedRecorder::Write(const HostSpeedRecord& record) {
  const std::vector<std::string> texts = EncodeHostSpeeds(record, Now());
  Transaction transaction;
  transaction.Expect(kTermKey, m_state.term.revision);
  for (std::size_t part = 0; part < texts.size(); ++part) {
    m_revisions.try_emplace(PartKey(part), Revision(0));
    transaction.Put(PartKey(part), texts[part]);
  }
  for (const auto& [key, revision] : m_revisions) {
    transaction.Expect(key, revision);
  }
  for (std::size_t part = texts.size(); m_revisions.contains(PartKey(part)); ++part) {
    if (m_revisions.at(PartKey(part)).value() != 0) {
      transaction.Delete(PartKey(part));
    }
  }
  m_is_write_in_flight = true;
  m_store.Commit(transaction, [weak = weak_from_this(), record,
                               parts = texts.size()](const CommitAnswer& answer) {
    const std::shared_ptr<HostSpeedRecorder> self = weak.lock();
    if (self != nullptr && !self->m_is_closed) {
      self->OnAnswer(answer, record, parts);
    }
  });
}

void HostSpeedRecorder::OnAnswer(const CommitAnswer& answer, HostSpeedRecord record,
                                 std::size_t parts) {
  m_is_write_in_flight = false;
  if (answer.result == TransactionResult::kConflict) {
    OnConflict(answer);
    return;
  }
  if (answer.result != TransactionResult::kApplied) {
    // The next write shows by its conditions whether this one was applied.
    LogEvent(LogLevel::kWarning, "speeds", "the record of speeds may not be written; retrying")
        .Reason(answer.error)
        .Write();
    return;
  }
  m_stored = std::move(record);
  m_revisions.clear();
  for (std::size_t part = 0; part < parts; ++part) {
    m_revisions[PartKey(part)] = answer.revision;
  }
}

void HostSpeedRecorder::OnConflict(const CommitAnswer& answer) {
  for (const StoreItem& item : answer.items) {
    if (item.key == kTermKey) {
      // Another leader writes it from now on.
      m_is_closed = m_is_closed || item.revision != m_state.term.revision;
    } else {
      m_revisions[item.key] = item.revision;
    }
  }
}

}  // namespace papayalift
