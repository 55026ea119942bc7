/// Faults of the connections of one link.
#pragma once

#include "libraries/base/units.h"

namespace papayalift {

enum class LinkState {
  kOpen,
  /// Bytes arrive in order after a delay.
  kDelayed,
  /// Bytes from the client are held back; the opposite direction is open.
  kHeldToServer,
  /// Bytes from the server are held back; the opposite direction is open.
  kHeldToClient,
  /// Both directions are held back, also for new connections.
  kSilent,
};

/// The state of a link; `delay` applies to kDelayed.
struct LinkFault {
  LinkState state = LinkState::kOpen;
  Milliseconds delay{0};
};

}  // namespace papayalift
