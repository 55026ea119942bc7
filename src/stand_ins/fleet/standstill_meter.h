/// Measures for how long started jobs have no run while many minions are empty.
#pragma once

#include <map>

#include "stand_ins/fleet/fleet_minions.h"

namespace papayalift {

class StandstillMeter {
 public:
  StandstillMeter(Timers& timers, FleetMinions& minions) : m_timers(timers), m_minions(minions) {}

  /// Samples the minions at a fixed interval from now on.
  void Start();
  /// The longest standstill of a job so far, one that still lasts included.
  Milliseconds LongestOf(const JobId& job) const;

 private:
  void Sample();
  /// Whether at least half of the ready minions have no run, and the zone is not evacuated.
  bool ManyMinionsAreEmpty();

  Timers& m_timers;
  FleetMinions& m_minions;
  /// Since when the jobs that stand now have stood.
  std::map<JobId, Milliseconds> m_standing_since;
  std::map<JobId, Milliseconds> m_longest;
};

}  // namespace papayalift
