/// Collects observations from several threads.
#pragma once

#include <map>
#include <mutex>

#include "libraries/fleet_lab/observations.h"

namespace papayalift {

/// Thread-safe.
class ObservationLog {
 public:
  /// Appends to one of the lists.
  template <typename Record>
  void Add(std::vector<Record> Observations::*list, Record record) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    (m_observations.*list).push_back(std::move(record));
  }

  /// Adds a job or replaces its earlier observation.
  void SetJob(const JobObservation& job);

  void RecordZoneOut(const ZoneId& zone, Milliseconds at);
  void RecordZoneBack(const ZoneId& zone, Milliseconds at);
  void RecordStoreAway(Milliseconds at);
  void RecordStoreBack(Milliseconds at);
  void RecordTargetRetired(const std::string& target, Milliseconds at);
  void RecordTargetBack(const std::string& target, Milliseconds at);

  /// Records that a gang has been partial for `lasted` so far.
  void RecordPartialGang(const AttemptId& attempt, Milliseconds lasted);
  void RecordGangsWatched(std::int64_t count);
  void RecordProbeStart(const JobId& job, Milliseconds at);

  Observations Copy() const;

 private:
  mutable std::mutex m_mutex;
  Observations m_observations;
  std::map<JobId, std::size_t> m_job_index;
  std::map<AttemptId, std::size_t> m_partial_index;
};

}  // namespace papayalift
