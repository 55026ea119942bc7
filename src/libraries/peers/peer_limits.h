/// Limits on the resources that peers can use.
#pragma once

#include <cstddef>

#include "libraries/base/units.h"

namespace papayalift {

struct PeerLimits {
  /// Incoming connections open at the same time; further ones are closed at once.
  std::size_t connections = 64;
  std::size_t message_bytes = 8UL * 1024;
  /// Bytes accepted on one connection per heartbeat interval.
  std::size_t interval_bytes = 64UL * 1024;
  /// Bytes of pending output on one connection.
  std::size_t output_bytes = 64UL * 1024;
  /// Messages on one connection that are incomplete or unanswered.
  std::size_t open_streams = 8;
  Milliseconds heartbeat_interval{500};
  /// A connection that delivers no complete message for this long is closed.
  Milliseconds silence_timeout{2'500};

  /// Most bytes of messages that all incoming connections hold together.
  constexpr std::size_t MaxBytes() const {
    return connections * (open_streams * message_bytes + output_bytes);
  }
};

}  // namespace papayalift
