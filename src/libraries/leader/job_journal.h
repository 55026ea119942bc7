/// Writes the progress of jobs to the store. Each job has at most one write in flight, and each
/// write is conditional on the leader's term and on the state that its placements depend on.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "libraries/leader/leader_state.h"
#include "libraries/leader/manifest_view.h"
#include "libraries/work/fleet_schema.h"
#include "libraries/work/store_port.h"

namespace papayalift {

struct JournalCallbacks {
  /// The write was applied: its placements may be ordered and its ends acknowledged.
  std::function<void(TrackedJob&, const ProgressWrite&)> on_stored;
  /// A condition failed, so the placements were not stored. `items` holds the compared keys as they
  /// are in the store.
  std::function<void(TrackedJob&, const ProgressWrite&, const std::vector<StoreItem>& items)>
      on_conflict;
  /// Another leader has been elected.
  std::function<void(const std::string& reason)> on_superseded;
  /// A call sent at `sent_at` was answered while this term was still held.
  std::function<void(Milliseconds sent_at)> on_confirmed;
};

class JobJournal : public std::enable_shared_from_this<JobJournal> {
 public:
  JobJournal(Timers& timers, StorePort& store, const FleetSchema& schema, ManifestView& view,
             LeaderState& state, Milliseconds registration_freshness, JournalCallbacks callbacks);

  /// Schedules a write of the job. Changes made before the write is sent are part of it.
  void MarkDirty(TrackedJob& job);

  /// Starts no more writes and ignores the answers to writes in flight.
  void Close() { m_is_closed = true; }

 private:
  void Flush();
  void StartWrite(TrackedJob& job);
  ProgressWrite BuildWrite(TrackedJob& job) const;
  void AddPlacementConditions(TrackedJob& job, ProgressWrite& write) const;
  void SendWrite(TrackedJob& job);
  void OnAnswer(const JobId& id, const CommitAnswer& answer);
  void OnConflict(TrackedJob& job, const CommitAnswer& answer);
  void RetryWriteLater(TrackedJob& job, const CommitAnswer& answer);
  void FinishWrite(TrackedJob& job, Revision revision);
  Milliseconds Now() const { return m_timers.clock().Now(); }

  Timers& m_timers;
  StorePort& m_store;
  const FleetSchema& m_schema;
  ManifestView& m_view;
  LeaderState& m_state;
  const Milliseconds m_registration_freshness;
  const JournalCallbacks m_callbacks;
  bool m_is_closed = false;
  bool m_is_flush_scheduled = false;
  std::vector<JobId> m_dirty_jobs;
};

}  // namespace papayalift
