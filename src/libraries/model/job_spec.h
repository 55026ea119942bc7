/// The specification of a job, as submitted by a caller.
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
  /// As declared by the caller; often far from the actual run time.
  Milliseconds declared_run_time{0};
  Idempotency idempotency = Idempotency::kIdempotent;
  Urgency urgency = Urgency::kNormal;
  /// Passed unchanged to each task; only the workers interpret it.
  std::string payload;

  bool operator==(const JobSpec&) const = default;
};

/// Limits on a job specification.
inline constexpr int kMaxGangTasks = 64;
inline constexpr std::size_t kMaxPayloadBytes = 16UL * 1024;
inline constexpr std::size_t kMaxKeyBytes = 200;

}  // namespace papayalift
