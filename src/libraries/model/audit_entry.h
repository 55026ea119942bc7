/// An audit trail entry: who changed what, and why. Written in the same transaction as the change.
#pragma once

#include <string>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

struct AuditEntry {
  /// Wall clock of the node that wrote it.
  Milliseconds at{0};
  NodeId node;
  /// The operator or caller who requested the change; empty if the system made it by itself.
  std::string actor;
  /// What was done, such as "zone out" or "gang commit".
  std::string action;
  /// The key of the record that changed.
  std::string subject;
  std::string reason;
};

}  // namespace papayalift
