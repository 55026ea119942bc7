/// Durations as text with a unit: "250ms", "4.4s", "5m", "2h".
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/base/units.h"

namespace papayalift {

/// Returns kInvalidArgument with the accepted format in the message.
absl::StatusOr<Milliseconds> ParseDuration(std::string_view text);

std::string DurationText(Milliseconds duration);

}  // namespace papayalift
