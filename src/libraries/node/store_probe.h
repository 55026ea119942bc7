/// Sends one small read per second on a thread of its own, so that StoreProgress can tell how
/// recent this node's copy is.
#pragma once

#include "libraries/base/clock.h"
#include "libraries/base/joining_thread.h"
#include "libraries/base/stop_signal.h"
#include "libraries/node/store_progress.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

class StoreProbe {
 public:
  StoreProbe(const Clock& clock, KeyValueService& store, StoreProgress& progress);
  ~StoreProbe() { Stop(); }

  void Start();
  void Stop();

  /// Sends one read; public for tests.
  void Probe();

 private:
  void Run();

  const Clock& m_clock;
  KeyValueService& m_store;
  StoreProgress& m_progress;
  StopSignal m_stop;
  JoiningThread m_thread;
};

}  // namespace papayalift
