/// What a caller asks to run.
#pragma once

#include <string>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/model/shape.h"

namespace papayalift {

enum class Idempotency { kIdempotent, kNonIdempotent };
enum class Urgency { kNormal, kUrgent };

struct JobSpec {
  WorkspaceId workspace;
  CallerKey key;
  Shape shape;
  /// As declared by the caller; known to be far off.
  Milliseconds declared_run_time{0};
  Idempotency idempotency = Idempotency::kIdempotent;
  Urgency urgency = Urgency::kNormal;
  /// Handed to each task as it is; only the workers read it.
  std::string payload;

  bool operator==(const JobSpec&) const = default;
};

/// Bounds on what a caller may ask for.
inline constexpr int kMaxGangTasks = 64;
inline constexpr std::size_t kMaxPayloadBytes = 16UL * 1024;
inline constexpr std::size_t kMaxKeyBytes = 200;

}  // namespace papayalift
