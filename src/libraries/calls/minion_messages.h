/// What an entry node and a minion say to each other.
#pragma once

#include <string>

#include "libraries/base/units.h"

namespace papayalift {

struct MinionCall {
  std::string request_id;
  /// The newest ticket heard from this minion.
  std::string ticket;
  /// What is left of the caller's limit: work that takes longer serves nobody.
  Milliseconds limit{0};
  std::string payload;
};

struct MinionAnswer {
  /// Repeats the call's; empty in a report.
  std::string request_id;
  std::string result;
  /// Why the call was not run; empty where it ran.
  std::string refusal;
  std::string ticket;
  int busy_slots = 0;
};

}  // namespace papayalift
