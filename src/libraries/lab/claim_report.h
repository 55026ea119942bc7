/// Waiting times and missed limits of guarantee claims.
#pragma once

#include "libraries/lab/sample_summary.h"

namespace papayalift {

struct ClaimReport {
  /// Seconds from the claim until all tasks run; for a claim never met, its age at the end.
  SampleSummary wait;
  /// Claims not met within the limit of the scenario.
  int missed = 0;
  /// Missed claims that were open during a zone change.
  int missed_in_zone_changes = 0;
  /// Missed claims that at some time exceeded the quota of their own workspace while waiting.
  int missed_at_own_quota = 0;
};

}  // namespace papayalift
