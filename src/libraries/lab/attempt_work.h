/// What one attempt did with the accelerators that it held.
#pragma once

#include "libraries/base/units.h"

namespace papayalift {

/// Times count from the beginning of the run.
struct AttemptWork {
  Milliseconds held_from{0};
  Milliseconds held_until{0};
  /// When its tasks began; held_until where they never did.
  Milliseconds ran_from{0};
  /// Progress made.
  Milliseconds ran{0};
  /// How much of the progress a checkpoint or the end of the job kept.
  Milliseconds kept{0};
  /// How much of the progress an earlier attempt had made before and lost.
  Milliseconds repeated{0};
};

}  // namespace papayalift
