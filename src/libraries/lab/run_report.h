/// Results of one run of one policy.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/lab/claim_report.h"
#include "libraries/lab/invariant_checker.h"
#include "libraries/lab/sample_summary.h"
#include "libraries/lab/work_tally.h"

namespace papayalift {

/// Jobs that were accepted and not cancelled. An unfinished job counts with its age, a lower bound
/// of its completion time.
struct JobGroupReport {
  std::string name;
  int jobs = 0;
  int unfinished = 0;
  /// Seconds from submission to the end.
  SampleSummary completion;
  /// Bounded slowdown: completion time divided by the run time or 10 s, whichever is longer; at
  /// least 1.
  SampleSummary slowdown;
  /// Longest time in seconds from submission until the tasks first ran.
  double longest_wait = 0.0;
};

struct JobCounts {
  int submitted = 0;
  int refused = 0;
  /// Jobs that could never run but were accepted, and jobs that could run but were refused.
  int wrongly_accepted = 0;
  int wrongly_refused = 0;
  int done = 0;
  int cancelled = 0;
  int unfinished = 0;
  /// Attempts whose job was queued again, such as after a stop or a failure.
  int requeued = 0;
};

/// Wall-clock measurements, the only results that differ between runs of the same scenario, policy
/// and seed.
struct DecisionCost {
  double per_second = 0.0;
  /// Microseconds per scheduling pass.
  SampleSummary microseconds;
};

struct RunReport {
  std::string scenario;
  std::string policy;
  std::uint64_t seed = 0;
  JobCounts jobs;
  JobGroupReport overall;
  std::vector<JobGroupReport> by_class;
  /// By the number of accelerators of a gang.
  std::vector<JobGroupReport> by_size;
  std::string largest_shape;
  double fragmentation = 0.0;
  /// See CapacityMeter::fragmentation_floor.
  double fragmentation_floor = 0.0;
  double utilisation = 0.0;
  WorkTally work;
  WorkTally work_in_zone_changes;
  /// Accelerator-hours, see CapacityMeter::allowed_hours.
  double allowed_in_zone_changes = 0.0;
  ClaimReport urgent_claims;
  ClaimReport normal_claims;
  InvariantReport invariants;
  int passes = 0;
  DecisionCost cost;

  /// Useful work divided by the allowed accelerator-hours during zone changes; 1 if none were
  /// allowed.
  double UsefulShareInZoneChanges() const {
    return allowed_in_zone_changes > 0.0 ? work_in_zone_changes.useful / allowed_in_zone_changes
                                         : 1.0;
  }
};

}  // namespace papayalift
