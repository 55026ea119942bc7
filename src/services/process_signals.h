/// Termination signals of a serving process.
#pragma once

#include "libraries/base/units.h"

namespace papayalift {

class ProcessSignals {
 public:
  /// From now on SIGTERM and SIGINT are counted instead of ending the process, and SIGHUP apart.
  static void Install();

  /// Each signal also writes a byte to `descriptor`, to end a wait.
  static void SetWakeDescriptor(int descriptor);

  /// How many SIGHUP have come.
  static int reloads();

  /// How many have come.
  static int terminations();

  /// Waits until at least `wanted` have come, at most for `limit`; returns whether they have.
  static bool WaitForTerminations(int wanted, Milliseconds limit);
};

}  // namespace papayalift
