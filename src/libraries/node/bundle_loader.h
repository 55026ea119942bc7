/// Fetches the bundle that was rolled and puts it in force on this node.
#pragma once

#include "libraries/node/fleet_state.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

class BundleLoader {
 public:
  BundleLoader(KeyValueService& store, FleetState& state) : m_store(store), m_state(state) {}

  /// Does nothing where the version rolled is in force already. A failure is tried again with the
  /// next call.
  void LoadRolledBundle();

 private:
  KeyValueService& m_store;
  FleetState& m_state;
  BundleVersion m_loaded;
};

}  // namespace papayalift
