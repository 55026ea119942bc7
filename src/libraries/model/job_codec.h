/// Job records as JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/model/job_record.h"

namespace papayalift {

std::string EncodeJobSpec(const JobSpec& spec);
/// Also checks the ranges; kInvalidArgument names the field and the permitted values.
absl::StatusOr<JobSpec> DecodeJobSpec(std::string_view text);

std::string EncodeJob(const JobRecord& job);
absl::StatusOr<JobRecord> DecodeJob(std::string_view text);

/// kInvalidArgument names the first field that is out of range.
absl::Status CheckJobSpec(const JobSpec& spec);

}  // namespace papayalift
