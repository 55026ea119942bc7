#include "libraries/node/hold_gate.h"

namespace papayalift {

bool HoldGate::MayAdmitCalls(ZoneEpoch zones) {
  const std::shared_ptr<const FleetView> view = m_state.View();
  // One that registered later would not be asked for its promise.
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
