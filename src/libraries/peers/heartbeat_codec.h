/// Heartbeats as compact JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/peers/heartbeat.h"

namespace papayalift {

std::string EncodeHeartbeat(const Heartbeat& heartbeat);

/// kInvalidArgument for anything but a whole heartbeat.
absl::StatusOr<Heartbeat> DecodeHeartbeat(std::string_view text);

}  // namespace papayalift
