/// Admits calls and starts by a view of the zones that was confirmed recently.
#pragma once

#include <mutex>

#include "absl/status/status.h"
#include "libraries/base/clock.h"
#include "libraries/calls/zone_gate.h"
#include "libraries/model/zone_table.h"
#include "libraries/node/hold_admission.h"
#include "libraries/node/versioned.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

/// The age of the view counts from when the read that confirmed it was sent.
class ViewGuard final : public ZoneGate {
 public:
  ViewGuard(const Clock& clock, KeyValueService& store, Milliseconds view_limit);

  /// Confirms the view first if it is older than its limit.
  ZoneAdmission Admit(const ZoneId& zone) override;

  /// Records that a transaction sent at `sent_at` compared both records successfully.
  void ConfirmByTransaction(Revision zones, Revision current_bundle, Milliseconds sent_at);

  /// Takes a newer table from the watch, which does not count as a confirmation.
  void UpdateZones(const Versioned<ZoneTable>& zones);

  /// Admits calls by `hold` where the view can't be confirmed. Must be called before the first
  /// call.
  void SetHoldAdmission(HoldAdmission& hold) { m_hold_admission = &hold; }

  bool fresh() const;

 private:
  bool FreshLocked() const;
  bool IsHeld() const;
  ZoneAdmission AdmissionLocked(const ZoneId& zone) const;
  absl::Status Confirm();

  const Clock& m_clock;
  KeyValueService& m_store;
  const Milliseconds m_view_limit;
  HoldAdmission* m_hold_admission = nullptr;
  mutable std::mutex m_mutex;
  /// Held while one thread confirms the view for all.
  std::mutex m_confirm_mutex;
  Versioned<ZoneTable> m_zones;
  bool m_confirmed = false;
  Milliseconds m_confirmed_at{0};
};

}  // namespace papayalift
