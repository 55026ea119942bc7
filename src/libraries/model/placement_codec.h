/// Placement records as JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/model/placement_record.h"

namespace papayalift {

std::string EncodePlacement(const PlacementRecord& placement);
absl::StatusOr<PlacementRecord> DecodePlacement(std::string_view text);

}  // namespace papayalift
