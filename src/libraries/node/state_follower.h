/// Duty: keeps the node's copy of the records up to date with one watch.
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

  /// Reads everything where nothing is known, then follows the changes until the watch breaks;
  /// public for tests.
  void Follow();

 private:
  void Run();
  void AfterChange();

  KeyValueService& m_store;
  FleetState& m_state;
  ViewGuard& m_view;
  Metrics& m_metrics;
  BundleLoader m_loader;
  /// The first revision that is still to be read; 0 to read everything anew.
  Revision m_next;
  StopSignal m_stop;
  JoiningThread m_thread;
};

}  // namespace papayalift
