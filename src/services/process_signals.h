/// Termination and reload signals of a serving process.
#pragma once

#include "libraries/base/units.h"

namespace papayalift {

class ProcessSignals {
 public:
  /// From now on SIGTERM and SIGINT are counted instead of ending the process; SIGHUP is counted
  /// separately.
  static void Install();

  /// Makes each signal also write a byte to `descriptor`, to wake a waiting event loop.
  static void SetWakeDescriptor(int descriptor);

  /// Number of SIGHUP received.
  static int reloads();

  /// Number of SIGTERM and SIGINT received.
  static int terminations();

  /// Waits up to `limit` until terminations() reaches `wanted`; returns whether it has.
  static bool WaitForTerminations(int wanted, Milliseconds limit);
};

}  // namespace papayalift
