/// Encodes and decodes job progress as compact JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/journal/job_progress.h"

namespace papayalift {

/// The name of a state in records and answers.
std::string WorkStateText(WorkState state);

std::string EncodeJobProgress(const JobProgress& progress);
/// kInvalidArgument if `text` is malformed.
absl::StatusOr<JobProgress> DecodeJobProgress(std::string_view text);
/// Decodes only the state and skips the tasks.
absl::StatusOr<WorkState> DecodeWorkState(std::string_view text);

}  // namespace papayalift
