/// Bounds on what peers can occupy.
#pragma once

#include <cstddef>

#include "libraries/base/units.h"

namespace papayalift {

struct PeerLimits {
  /// Connections accepted at the same time; more are closed at once.
  std::size_t connections = 64;
  std::size_t message_bytes = 8UL * 1024;
  /// Bytes that one connection may bring between two heartbeats.
  std::size_t interval_bytes = 64UL * 1024;
  /// Bytes that wait to be sent on one connection.
  std::size_t output_bytes = 64UL * 1024;
  /// Messages of one connection that are not answered or not whole.
  std::size_t open_streams = 8;
  Milliseconds heartbeat_interval{500};
  /// A connection that brings no whole message for this long is closed.
  Milliseconds silence_timeout{2'500};
};

}  // namespace papayalift
