/// Stores the progress of jobs: one write of a job at a time, under the conditions that make it
/// safe.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "libraries/leader/leader_state.h"
#include "libraries/leader/manifest_view.h"
#include "libraries/work/fleet_directory.h"
#include "libraries/work/store_port.h"

namespace papayalift {

struct JournalCallbacks {
  /// The placements are stored and may be ordered; the ends may be acknowledged.
  std::function<void(TrackedJob&, const ProgressWrite&)> on_stored;
  /// A condition did not hold: the placements were not stored. `items` shows the keys as they are.
  std::function<void(TrackedJob&, const ProgressWrite&, const std::vector<StoreItem>& items)>
      on_conflict;
  /// Another leader has taken over.
  std::function<void(const std::string& reason)> on_superseded;
  /// A call that was sent then was answered under this term.
  std::function<void(Milliseconds sent_at)> on_confirmed;
};

class JobJournal : public std::enable_shared_from_this<JobJournal> {
 public:
  JobJournal(Timers& timers, StorePort& store, const FleetDirectory& directory, ManifestView& view,
             LeaderState& state, JournalCallbacks callbacks);

  /// Stores the job soon; changes until then go into the same write.
  void MarkDirty(TrackedJob& job);

  /// No write is begun any more, and answers are dropped.
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
  const FleetDirectory& m_directory;
  ManifestView& m_view;
  LeaderState& m_state;
  const JournalCallbacks m_callbacks;
  bool m_is_closed = false;
  bool m_is_flush_scheduled = false;
  std::vector<JobId> m_dirty_jobs;
};

}  // namespace papayalift
