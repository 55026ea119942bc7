/// Messages between an entry node and a minion.
#pragma once

#include <string>

#include "libraries/base/units.h"

namespace papayalift {

struct MinionCall {
  std::string request_id;
  /// The latest ticket received from this minion.
  std::string ticket;
  /// The rest of the caller's time limit; the caller no longer waits for work that takes longer.
  Milliseconds limit{0};
  std::string payload;
};

struct MinionAnswer {
  /// The request id of the call; empty in a report.
  std::string request_id;
  std::string result;
  /// Why the call was not run; empty if it ran.
  std::string refusal;
  std::string ticket;
  int busy_slots = 0;
};

}  // namespace papayalift
