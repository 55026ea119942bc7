/// How guarantee claims were met.
#pragma once

#include "libraries/lab/sample_summary.h"

namespace papayalift {

struct ClaimReport {
  /// Seconds from the claim until all tasks run; a claim that never was met counts with its age.
  SampleSummary wait;
  /// Claims that started later than the limit of the scenario, or never.
  int missed = 0;
  /// Missed ones that were open during a zone change.
  int missed_in_zone_changes = 0;
};

}  // namespace papayalift
