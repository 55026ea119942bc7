/// State machine that works on one job step by step. Each step makes at most one round of remote
/// calls. Shared ownership keeps a session alive while a step runs.
#pragma once

#include <memory>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

enum class StepKind { kAgain, kDone };

struct StepResult {
  StepKind kind = StepKind::kDone;
  /// Time until the next step; only used with kAgain.
  Milliseconds delay{0};
};

inline constexpr StepResult kStepDone{StepKind::kDone, Milliseconds(0)};
inline constexpr StepResult kStepAgain{StepKind::kAgain, Milliseconds(0)};

class GangSession : public std::enable_shared_from_this<GangSession> {
 public:
  virtual ~GangSession() = default;

  virtual const JobId& job() const = 0;
  virtual StepResult Step() = 0;
};

}  // namespace papayalift
