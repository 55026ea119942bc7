/// Admits calls while hold promises from all registered nodes are valid.
#pragma once

#include "libraries/metrics/metrics.h"
#include "libraries/node/fleet_state.h"
#include "libraries/node/hold_admission.h"
#include "libraries/node/hold_promises.h"
#include "libraries/node/membership.h"

namespace papayalift {

class HoldGate final : public HoldAdmission {
 public:
  HoldGate(const FleetState& state, const Membership& membership, HoldPromises& promises,
           Metrics& metrics)
      : m_state(state), m_membership(membership), m_promises(promises), m_metrics(metrics) {}

  bool MayAdmitCalls(ZoneEpoch zones) override;

 private:
  const FleetState& m_state;
  const Membership& m_membership;
  HoldPromises& m_promises;
  Metrics& m_metrics;
};

}  // namespace papayalift
