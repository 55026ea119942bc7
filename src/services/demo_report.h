/// The demo's table of jobs, and the check of their outcomes.
#pragma once

#include <string>
#include <vector>

#include "libraries/model/job_record.h"

namespace papayalift {

enum class ExpectedOutcome { kSucceeds, kRefused, kCancelled };

struct DemoJob {
  JobSpec spec;
  ExpectedOutcome expected = ExpectedOutcome::kSucceeds;
  /// The final record. Of a refused job, the id is empty and the state kQueued.
  JobRecord record;
  /// The error that the caller got if the job was refused.
  std::string refusal;
};

bool MatchesExpectation(const DemoJob& job);

/// One line per job: verdict, waiting time and completion time.
std::string DemoTable(const std::vector<DemoJob>& jobs);

}  // namespace papayalift
