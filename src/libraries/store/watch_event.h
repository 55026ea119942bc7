/// One change that a watch reports.
#pragma once

#include <vector>

#include "libraries/store/key_value.h"

namespace papayalift {

enum class ChangeKind { kPut, kDelete };

struct WatchEvent {
  ChangeKind kind = ChangeKind::kPut;
  /// For kDelete the value is empty.
  KeyValue record;
};

/// All changes of one or more whole revisions.
struct WatchBatch {
  std::vector<WatchEvent> events;
  Revision revision;
};

}  // namespace papayalift
