/// Parses the job file that callers write: TOML with one [job] table.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "libraries/model/job_spec.h"

namespace papayalift {

/// `file` is used only in messages. kInvalidArgument lists every error, one per line.
absl::StatusOr<JobSpec> ParseJobFile(const std::string& text, const std::string& file);

}  // namespace papayalift
