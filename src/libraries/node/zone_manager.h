/// Operators take availability zones out and bring them back.
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

  /// Returns the table in force after the change. kNotFound: the bundle names no such zone.
  /// kAborted: another operator changed zones at the same moment. kUnknown: it may be in force.
  absl::StatusOr<ZoneTable> Change(const ZoneChange& change);

 private:
  absl::StatusOr<Versioned<ZoneTable>> Read();
  /// Finds out what became of a change whose answer was lost; `epoch` is the one it writes.
  absl::StatusOr<ZoneTable> ReadBack(const ZoneChange& change, ZoneEpoch epoch);

  KeyValueService& m_store;
  const FleetState& m_state;
  AuditWriter& m_audit;
};

}  // namespace papayalift
