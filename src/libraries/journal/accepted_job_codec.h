/// Encodes and decodes accepted jobs as JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/journal/accepted_job.h"

namespace papayalift {

std::string EncodeAcceptedJob(const AcceptedJob& job);
/// kInvalidArgument if `text` is malformed.
absl::StatusOr<AcceptedJob> DecodeAcceptedJob(std::string_view text);

}  // namespace papayalift
