#include "libraries/fleet_lab/observation_log.h"

#include <algorithm>

namespace papayalift {

void ObservationLog::SetJob(const JobObservation& job) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto known = m_job_index.find(job.id);
  if (known != m_job_index.end()) {
    m_observations.jobs[known->second] = job;
    return;
  }
  m_job_index[job.id] = m_observations.jobs.size();
  m_observations.jobs.push_back(job);
}

void ObservationLog::RecordZoneOut(const ZoneId& zone, Milliseconds at) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const ZoneWindow& known : m_observations.zones_out) {
    if (known.zone == zone && known.out.Covers(at)) {
      return;
    }
  }
  m_observations.zones_out.push_back(ZoneWindow{zone, TimeWindow{at}});
}

void ObservationLog::RecordZoneBack(const ZoneId& zone, Milliseconds at) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (ZoneWindow& known : m_observations.zones_out) {
    if (known.zone == zone && known.out.Covers(at)) {
      known.out.until = at;
    }
  }
}

void ObservationLog::RecordStoreAway(Milliseconds at) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_observations.store_away.push_back(TimeWindow{at});
}

void ObservationLog::RecordStoreBack(Milliseconds at) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (TimeWindow& window : m_observations.store_away) {
    window.until = std::min(window.until, at);
  }
}

void ObservationLog::RecordTargetRetired(const std::string& target, Milliseconds at) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_observations.retired.push_back(RetireWindow{target, TimeWindow{at}});
}

void ObservationLog::RecordTargetBack(const std::string& target, Milliseconds at) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (RetireWindow& known : m_observations.retired) {
    if (known.target == target && known.window.Covers(at)) {
      known.window.until = at;
    }
  }
}

void ObservationLog::RecordPartialGang(const AttemptId& attempt, Milliseconds lasted) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto known = m_partial_index.find(attempt);
  if (known != m_partial_index.end()) {
    Milliseconds& longest = m_observations.partial_gangs[known->second].longest;
    longest = std::max(longest, lasted);
    return;
  }
  m_partial_index[attempt] = m_observations.partial_gangs.size();
  m_observations.partial_gangs.push_back(PartialGang{attempt, lasted});
}

void ObservationLog::RecordGangsWatched(std::int64_t count) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_observations.gangs_watched = std::max(m_observations.gangs_watched, count);
}

void ObservationLog::RecordProbeStart(const JobId& job, Milliseconds at) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (GuaranteeProbe& probe : m_observations.probes) {
    if (probe.job == job) {
      probe.started_at = at;
    }
  }
}

Observations ObservationLog::Copy() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_observations;
}

}  // namespace papayalift
