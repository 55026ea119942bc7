/// Encodes and decodes the platform's membership list as JSON: [{"name": "worker-1", "state":
/// "leaving"}].
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/membership/vm_entry.h"

namespace papayalift {

std::string EncodeVmList(const std::vector<VmEntry>& entries);

/// Returns kInvalidArgument unless `text` is a complete list. Skips entries with an unknown state.
absl::StatusOr<std::vector<VmEntry>> DecodeVmList(std::string_view text);

}  // namespace papayalift
