/// What may happen to the connections of one link.
#pragma once

#include "libraries/base/units.h"

namespace papayalift {

enum class LinkState {
  kOpen,
  /// Bytes arrive later, in order.
  kDelayed,
  /// What the client sends is held back; the other way is open.
  kHeldToServer,
  /// What the server sends is held back; the other way is open.
  kHeldToClient,
  /// Both ways are held back, new connections too.
  kSilent,
};

/// The state of a link, and for kDelayed by how much.
struct LinkFault {
  LinkState state = LinkState::kOpen;
  Milliseconds delay{0};
};

}  // namespace papayalift
