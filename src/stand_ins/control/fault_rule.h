/// One fault that a stand-in applies to requests under a path.
#pragma once

#include <string>

#include "libraries/base/units.h"

namespace papayalift {

enum class FaultKind {
  /// The request is lost before it has any effect; the connection closes without an answer.
  kDrop,
  /// The request waits before it has its effect.
  kDelay,
  /// The request has its effect twice; the second answer is sent.
  kDuplicate,
  /// The request has its effect; the answer breaks off in its middle.
  kCut,
  /// The request has its effect; the connection closes without an answer.
  kLoseAnswer,
  /// Answered with 503 and no effect.
  kRefuse,
  /// Nothing happens until the faults are cleared or `delay` has passed; then the request is lost.
  kHang,
  /// The request waits until a later one has had its effect, at most for `delay`.
  kReorder,
};

struct FaultRule {
  FaultKind kind = FaultKind::kDrop;
  /// Requests whose path starts with this; "/" is all but the controls.
  std::string path = "/";
  /// 0 to 1.
  double probability = 1.0;
  /// How many requests it still applies to; 0 is any number.
  int count = 0;
  /// For kDelay, kHang and kReorder.
  Milliseconds delay{0};
};

}  // namespace papayalift
