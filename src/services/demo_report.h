/// The demo's table of jobs, and whether each answer was right.
#pragma once

#include <string>
#include <vector>

#include "libraries/model/job_record.h"

namespace papayalift {

enum class ExpectedOutcome { kSucceeds, kRefused, kCancelled };

struct DemoJob {
  JobSpec spec;
  ExpectedOutcome expected = ExpectedOutcome::kSucceeds;
  /// The record at the end; the state is kQueued with an empty id where it was refused.
  JobRecord record;
  /// What the caller was told where it was refused.
  std::string refusal;
};

bool MatchesExpectation(const DemoJob& job);

/// One line a job: verdict, waiting and completion time.
std::string DemoTable(const std::vector<DemoJob>& jobs);

}  // namespace papayalift
