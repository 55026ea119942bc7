#include "libraries/node/hold_gate.h"

namespace papayalift {

bool HoldGate::MayAdmitCalls(ZoneEpoch zones) {
  const std::shared_ptr<const FleetView> view = m_state.View();
  // Unless this node is registered, others can register without its knowledge, and it would not
  // ask them for a promise.
  if (!m_membership.OwnRecord(*view) || view->bundle == nullptr) {
    return false;
  }
  const KnownChanges seen{zones, view->bundle->version};
  if (!m_promises.HoldsAllPromises(m_membership.RegisteredPeerStates(*view), seen)) {
    return false;
  }
  m_metrics.Increment("papayalift_hold_admissions_total");
  return true;
}

}  // namespace papayalift
