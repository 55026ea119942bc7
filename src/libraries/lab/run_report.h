/// What one run of one policy came to.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/lab/claim_report.h"
#include "libraries/lab/invariant_checker.h"
#include "libraries/lab/sample_summary.h"
#include "libraries/lab/work_tally.h"

namespace papayalift {

/// Jobs that were accepted and not cancelled. One that had not ended counts with its age, which is
/// a lower bound.
struct JobGroupReport {
  std::string name;
  int jobs = 0;
  int unfinished = 0;
  /// Seconds from submission to the end.
  SampleSummary completion;
  /// Completion time over run time, run times below 10 s taken as 10 s; at least 1.
  SampleSummary slowdown;
  /// Seconds from submission until the tasks first ran.
  double longest_wait = 0.0;
};

struct JobCounts {
  int submitted = 0;
  int refused = 0;
  /// Jobs that could never run and were let in, and the reverse.
  int wrongly_accepted = 0;
  int wrongly_refused = 0;
  int done = 0;
  int cancelled = 0;
  int unfinished = 0;
  /// Attempts that were stopped or failed, and queued again.
  int requeued = 0;
};

/// Measured by the wall clock: the only figures that differ between equal runs.
struct DecisionCost {
  double per_second = 0.0;
  /// Microseconds of one pass.
  SampleSummary microseconds;
};

struct RunReport {
  std::string scenario;
  std::string policy;
  std::uint64_t seed = 0;
  JobCounts jobs;
  JobGroupReport overall;
  std::vector<JobGroupReport> by_class;
  /// By the accelerators of a gang.
  std::vector<JobGroupReport> by_size;
  std::string largest_shape;
  double fragmentation = 0.0;
  double utilisation = 0.0;
  WorkTally work;
  WorkTally work_in_zone_changes;
  /// Accelerator-hours that the capacity in service allowed during zone changes.
  double allowed_in_zone_changes = 0.0;
  ClaimReport urgent_claims;
  ClaimReport normal_claims;
  InvariantReport invariants;
  int passes = 0;
  DecisionCost cost;

  /// Useful work during zone changes against what was allowed; 1 where there were none.
  double UsefulShareInZoneChanges() const {
    return allowed_in_zone_changes > 0.0 ? work_in_zone_changes.useful / allowed_in_zone_changes
                                         : 1.0;
  }
};

}  // namespace papayalift
