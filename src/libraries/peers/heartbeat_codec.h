/// Encodes and decodes heartbeats as compact JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/peers/heartbeat.h"

namespace papayalift {

std::string EncodeHeartbeat(const Heartbeat& heartbeat);

/// Returns kInvalidArgument unless `text` is a complete heartbeat.
absl::StatusOr<Heartbeat> DecodeHeartbeat(std::string_view text);

}  // namespace papayalift
