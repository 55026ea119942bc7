#include "libraries/node/fleet_state.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

#include "libraries/log/log_event.h"
#include "libraries/model/bundle_codec.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"
#include "libraries/model/node_codec.h"
#include "libraries/model/placement_codec.h"
#include "libraries/model/zone_codec.h"

namespace papayalift {

namespace {

void LogUnreadable(const std::string& key, const absl::Status& status) {
  LogEvent(LogLevel::kError, "fleet_state", "a record can't be read and is passed over")
      .Field("key", key)
      .Reason(std::string(status.message()))
      .Write();
}

/// Puts a decoded record into `records`, unless the one there is as new or newer.
template <typename Id, typename T>
void PutIfNewer(std::map<Id, SharedRecord<T>>& records, const Id& id, const KeyValue& record,
                absl::StatusOr<T> decoded) {
  if (!decoded.ok()) {
    LogUnreadable(record.key, decoded.status());
    return;
  }
  SharedRecord<T>& kept = records[id];
  if (kept == nullptr || kept->modified < record.modified) {
    kept = std::make_shared<Versioned<T>>(Versioned<T>{*std::move(decoded), record.modified});
  }
}

/// Erases the record `id` from `records`, unless it was written again after the deletion.
template <typename Id, typename T>
void EraseIfOlder(std::map<Id, SharedRecord<T>>& records, const Id& id, const KeyValue& deleted) {
  const auto kept = records.find(id);
  if (kept != records.end() && kept->second->modified < deleted.modified) {
    records.erase(kept);
  }
}

/// The part of `key` after `prefix`; nothing where `key` does not start with it.
std::optional<std::string> SuffixAfter(const std::string& key, const char* prefix) {
  const std::string_view start(prefix);
  if (!std::string_view(key).starts_with(start)) {
    return std::nullopt;
  }
  return key.substr(start.size());
}

}  // namespace

void FleetState::Reset(const RangeAnswer& answer) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  // A read that was delayed must not take the copy back to an older state.
  if (answer.revision < m_current.revision) {
    return;
  }
  FleetView fresh;
  fresh.bundle = m_current.bundle;
  fresh.zones = m_current.zones;
  fresh.rolled_version = m_current.rolled_version;
  fresh.current_bundle_modified = m_current.current_bundle_modified;
  m_current = std::move(fresh);
  for (const KeyValue& record : answer.records) {
    PutLocked(record);
  }
  m_current.revision = answer.revision;
  m_synchronized = true;
  m_published = nullptr;
  m_changed.notify_all();
}

void FleetState::Apply(const WatchBatch& batch) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_current.revision = std::max(m_current.revision, batch.revision);
  if (batch.events.empty()) {
    return;
  }
  for (const WatchEvent& event : batch.events) {
    if (event.kind == ChangeKind::kPut) {
      PutLocked(event.record);
    } else {
      DeleteLocked(event.record);
    }
  }
  m_published = nullptr;
  m_changed.notify_all();
}

void FleetState::SetBundle(std::shared_ptr<const BundleInForce> bundle) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_current.bundle != nullptr && m_current.bundle->version >= bundle->version) {
    return;
  }
  m_current.bundle = std::move(bundle);
  m_published = nullptr;
  m_changed.notify_all();
}

std::shared_ptr<const FleetView> FleetState::View() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return PublishedLocked();
}

BundleVersion FleetState::rolled_version() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_current.rolled_version;
}

bool FleetState::synchronized() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_synchronized;
}

Revision FleetState::followed_revision() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_current.revision;
}

std::shared_ptr<const FleetView> FleetState::WaitUntil(
    const std::function<bool(const FleetView&)>& done, Milliseconds limit) const {
  const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + limit;
  std::unique_lock<std::mutex> lock(m_mutex);
  std::shared_ptr<const FleetView> view = PublishedLocked();
  while (!done(*view) && m_changed.wait_until(lock, end) == std::cv_status::no_timeout) {
    view = PublishedLocked();
  }
  return view;
}

void FleetState::WaitForChange(Revision seen, Milliseconds limit) const {
  std::unique_lock<std::mutex> lock(m_mutex);
  const std::int64_t wakes = m_wake_count;
  m_changed.wait_for(lock, limit, [this, seen, wakes] {
    return m_current.revision > seen || m_wake_count != wakes;
  });
}

void FleetState::Wake() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_wake_count;
  m_changed.notify_all();
}

void FleetState::PutLocked(const KeyValue& record) {
  if (const std::optional<std::string> id = SuffixAfter(record.key, keys::kJobs)) {
    PutIfNewer(m_current.jobs, JobId(*id), record, DecodeJob(record.value));
  } else if (SuffixAfter(record.key, keys::kPlacements)) {
    absl::StatusOr<PlacementRecord> placement = DecodePlacement(record.value);
    const JobId job = placement.ok() ? placement->job : JobId();
    PutIfNewer(m_current.placements, job, record, std::move(placement));
  } else if (const std::optional<std::string> zone = SuffixAfter(record.key, keys::kLedgers)) {
    m_current.ledgers[ZoneId(*zone)] = record.modified;
  } else if (const std::optional<std::string> node = SuffixAfter(record.key, keys::kNodes)) {
    PutIfNewer(m_current.nodes, NodeId(*node), record, DecodeNode(record.value));
  } else if (record.key == keys::kZones && record.modified > m_current.zones.modified) {
    const absl::StatusOr<ZoneTable> zones = DecodeZoneTable(record.value);
    if (!zones.ok()) {
      LogUnreadable(record.key, zones.status());
      return;
    }
    m_current.zones = Versioned<ZoneTable>{*zones, record.modified};
  } else if (record.key == keys::kCurrentBundle &&
             record.modified > m_current.current_bundle_modified) {
    const absl::StatusOr<CurrentBundle> current = DecodeCurrentBundle(record.value);
    if (!current.ok()) {
      LogUnreadable(record.key, current.status());
      return;
    }
    m_current.current_bundle_modified = record.modified;
    m_current.rolled_version = std::max(m_current.rolled_version, current->version);
  }
}

void FleetState::DeleteLocked(const KeyValue& record) {
  if (const std::optional<std::string> job = SuffixAfter(record.key, keys::kJobs)) {
    EraseIfOlder(m_current.jobs, JobId(*job), record);
  } else if (const std::optional<std::string> placement =
                 SuffixAfter(record.key, keys::kPlacements)) {
    const std::size_t slash = placement->find('/');
    EraseIfOlder(m_current.placements, JobId(placement->substr(slash + 1)), record);
  } else if (const std::optional<std::string> node = SuffixAfter(record.key, keys::kNodes)) {
    EraseIfOlder(m_current.nodes, NodeId(*node), record);
  }
}

std::shared_ptr<const FleetView> FleetState::PublishedLocked() const {
  if (m_published == nullptr) {
    m_published = std::make_shared<FleetView>(m_current);
  }
  return m_published;
}

}  // namespace papayalift
