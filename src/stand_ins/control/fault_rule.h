/// A fault that a stand-in injects into requests under a path.
#pragma once

#include <string>

#include "libraries/base/units.h"

namespace papayalift {

enum class FaultKind {
  /// The request is dropped before it takes effect; the connection closes without a response.
  kDrop,
  /// The request is delayed before it takes effect.
  kDelay,
  /// The request takes effect twice; the second response is sent.
  kDuplicate,
  /// The request takes effect; the response is truncated.
  kCut,
  /// The request takes effect; the connection closes without a response.
  kLoseAnswer,
  /// The request is rejected with 503 and has no effect.
  kRefuse,
  /// The request blocks until the rules are replaced or `delay` has passed, then is dropped.
  kHang,
  /// The request is held until a later one has taken effect, at most for `delay`.
  kReorder,
};

struct FaultRule {
  FaultKind kind = FaultKind::kDrop;
  /// Prefix of the request path; "/" matches all requests except the controls.
  std::string path = "/";
  /// 0 to 1.
  double probability = 1.0;
  /// Number of requests that the rule still applies to; 0 is unlimited.
  int count = 0;
  /// For kDelay, kHang and kReorder.
  Milliseconds delay{0};
};

}  // namespace papayalift
