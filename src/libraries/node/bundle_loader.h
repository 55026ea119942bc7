/// Reads the rolled bundle from the store and puts it in force on this node.
#pragma once

#include "libraries/node/fleet_state.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

class BundleLoader {
 public:
  BundleLoader(KeyValueService& store, FleetState& state) : m_store(store), m_state(state) {}

  /// Does nothing where the rolled version is already in force. The next call retries a failure.
  void LoadRolledBundle();

 private:
  KeyValueService& m_store;
  FleetState& m_state;
  BundleVersion m_loaded;
};

}  // namespace papayalift
