/// Lets operators take availability zones out of service and bring them back.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "libraries/base/ids.h"
#include "libraries/model/zone_table.h"
#include "libraries/node/audit_writer.h"
#include "libraries/node/fleet_state.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

struct ZoneChange {
  ZoneId zone;
  ZoneState state = ZoneState::kOut;
  OperatorId actor;
  std::string reason;
};

class ZoneManager {
 public:
  ZoneManager(KeyValueService& store, const FleetState& state, AuditWriter& audit);

  /// Returns the zone table after the change. kNotFound: the bundle does not declare the zone.
  /// kAborted: another operator changed zones at the same time. kUnavailable: nothing was changed.
  /// kUnknown: the change may be in force.
  absl::StatusOr<ZoneTable> Change(const ZoneChange& change);

 private:
  absl::StatusOr<Versioned<ZoneTable>> Read();
  /// Checks whether a change whose response was lost is in force; `epoch` is the epoch it writes.
  absl::StatusOr<ZoneTable> ReadBack(const ZoneChange& change, ZoneEpoch epoch);

  KeyValueService& m_store;
  const FleetState& m_state;
  AuditWriter& m_audit;
};

}  // namespace papayalift
