/// Accelerator time and progress of one attempt.
#pragma once

#include "libraries/base/units.h"

namespace papayalift {

/// Points in time are relative to the start of the run.
struct AttemptWork {
  Milliseconds held_from{0};
  Milliseconds held_until{0};
  /// When the tasks began to run; equal to `held_from` if they never ran.
  Milliseconds ran_from{0};
  /// Progress made by the attempt.
  Milliseconds ran{0};
  /// Part of the progress that was saved by a checkpoint or by the end of the job.
  Milliseconds kept{0};
  /// Part of the progress that an earlier attempt had already made and lost.
  Milliseconds repeated{0};
};

}  // namespace papayalift
