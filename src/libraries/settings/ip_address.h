/// An IPv4 address with a port.
#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace papayalift {

struct IpAddress {
  /// An IPv4 address, "127.0.0.1".
  std::string host;
  std::uint16_t port = 0;
};

/// Parses "127.0.0.1:8080"; kInvalidArgument for host names and for missing or invalid ports.
absl::StatusOr<IpAddress> ParseIpAddress(const std::string& text);

}  // namespace papayalift
