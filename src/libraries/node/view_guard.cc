#include "libraries/node/view_guard.h"

#include <algorithm>

#include "libraries/base/try.h"
#include "libraries/model/keys.h"
#include "libraries/model/zone_codec.h"

namespace papayalift {

ViewGuard::ViewGuard(const Clock& clock, KeyValueService& store, Milliseconds view_limit)
    : m_clock(clock), m_store(store), m_view_limit(view_limit) {}

ZoneAdmission ViewGuard::Admit(const ZoneId& zone) {
  if (!fresh() && !IsHeld()) {
    const std::lock_guard<std::mutex> reading(m_confirm_mutex);
    if (!fresh() && !IsHeld() && !Confirm().ok()) {
      return ZoneAdmission::kUnconfirmed;
    }
  }
  const bool held = IsHeld();
  const std::lock_guard<std::mutex> lock(m_mutex);
  return held || FreshLocked() ? AdmissionLocked(zone) : ZoneAdmission::kUnconfirmed;
}

bool ViewGuard::IsHeld() const {
  if (m_hold_admission == nullptr) {
    return false;
  }
  ZoneEpoch epoch;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    epoch = m_zones.value.epoch;
  }
  return m_hold_admission->MayAdmitCalls(epoch);
}

ZoneAdmission ViewGuard::AdmissionLocked(const ZoneId& zone) const {
  return m_zones.value.StateOf(zone) == ZoneState::kIn ? ZoneAdmission::kOpen
                                                       : ZoneAdmission::kZoneOut;
}

void ViewGuard::ConfirmByTransaction(Revision zones, Revision /*current_bundle*/,
                                     Milliseconds sent_at) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (zones == m_zones.modified) {
    m_confirmed = true;
    m_confirmed_at = std::max(m_confirmed_at, sent_at);
  }
}

void ViewGuard::UpdateZones(const Versioned<ZoneTable>& zones) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (zones.modified > m_zones.modified) {
    m_zones = zones;
  }
}

bool ViewGuard::fresh() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return FreshLocked();
}

bool ViewGuard::FreshLocked() const {
  return m_confirmed && m_clock.Now() - m_confirmed_at < m_view_limit;
}

absl::Status ViewGuard::Confirm() {
  const Milliseconds sent_at = m_clock.Now();
  const RangeAnswer answer = TRY(m_store.Range(SingleKey(keys::kZones)));
  Versioned<ZoneTable> zones;
  if (!answer.records.empty()) {
    zones.value = TRY(DecodeZoneTable(answer.records.front().value));
    zones.modified = answer.records.front().modified;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (zones.modified >= m_zones.modified) {
    m_zones = zones;
  }
  m_confirmed = true;
  m_confirmed_at = std::max(m_confirmed_at, sent_at);
  return absl::OkStatus();
}

}  // namespace papayalift
