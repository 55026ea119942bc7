/// Keeps the node's copy of the records up to date with one watch, on a thread of its own.
#pragma once

#include "libraries/base/joining_thread.h"
#include "libraries/base/stop_signal.h"
#include "libraries/metrics/metrics.h"
#include "libraries/node/bundle_loader.h"
#include "libraries/node/fleet_state.h"
#include "libraries/node/view_guard.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

class StateFollower {
 public:
  StateFollower(KeyValueService& store, FleetState& state, ViewGuard& view, Metrics& metrics);
  ~StateFollower() { Stop(); }

  void Start();
  void Stop();

  /// Reads all records if there is no position to resume from, then applies changes until the watch
  /// ends; public for tests.
  void Follow();

 private:
  void Run();
  void AfterChange();

  KeyValueService& m_store;
  FleetState& m_state;
  ViewGuard& m_view;
  Metrics& m_metrics;
  BundleLoader m_loader;
  /// The next revision to read; 0 to read all records again.
  Revision m_next;
  StopSignal m_stop;
  JoiningThread m_thread;
};

}  // namespace papayalift
