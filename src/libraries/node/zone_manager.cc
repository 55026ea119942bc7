#include "libraries/node/zone_manager.h"

#include <fmt/format.h>

#include <algorithm>

#include "libraries/base/try.h"
#include "libraries/model/keys.h"
#include "libraries/model/zone_codec.h"

namespace papayalift {

namespace {

bool Declares(const FleetView& view, const ZoneId& zone) {
  return view.bundle != nullptr &&
         std::any_of(view.bundle->bundle.zones.begin(), view.bundle->bundle.zones.end(),
                     [&zone](const ZoneSpec& spec) { return spec.id == zone; });
}

}  // namespace

ZoneManager::ZoneManager(KeyValueService& store, const FleetState& state, AuditWriter& audit)
    : m_store(store), m_state(state), m_audit(audit) {}

absl::StatusOr<ZoneTable> ZoneManager::Change(const ZoneChange& change) {
  if (!Declares(*m_state.View(), change.zone)) {
    return absl::NotFoundError(
        fmt::format("the bundle in force does not declare zone '{}'", change.zone.text()));
  }
  const Versioned<ZoneTable> current = TRY(Read());
  ZoneTable zones = current.value;
  if (zones.StateOf(change.zone) == change.state) {
    return zones;
  }
  zones.epoch = zones.epoch.Next();
  zones.states[change.zone] = change.state;
  Transaction transaction;
  transaction.Expect(keys::kZones, current.modified).Put(keys::kZones, EncodeZoneTable(zones));
  m_audit.Add(transaction, change.actor.text(),
              change.state == ZoneState::kOut ? "zone out" : "zone back", change.zone.text(),
              change.reason);
  switch (m_store.Commit(transaction).result) {
    case TransactionResult::kApplied:
      return zones;
    case TransactionResult::kConflict:
      return absl::AbortedError(
          "another operator changed the zones at the same time; list them again");
    case TransactionResult::kNotSent:
      return absl::UnavailableError("the key-value service can't be reached; nothing was changed");
    case TransactionResult::kUnclear:
      break;
  }
  return ReadBack(change, zones.epoch);
}

absl::StatusOr<ZoneTable> ZoneManager::ReadBack(const ZoneChange& change, ZoneEpoch epoch) {
  const absl::StatusOr<Versioned<ZoneTable>> found = Read();
  const bool in_force = found.ok() && found->value.epoch >= epoch &&
                        found->value.StateOf(change.zone) == change.state;
  if (in_force) {
    return found->value;
  }
  return absl::UnknownError("the change may be in force; list the zones to find out");
}

absl::StatusOr<Versioned<ZoneTable>> ZoneManager::Read() {
  const RangeAnswer answer = TRY(m_store.Range(SingleKey(keys::kZones)));
  if (answer.records.empty()) {
    return Versioned<ZoneTable>{};
  }
  const KeyValue& record = answer.records.front();
  return Versioned<ZoneTable>{TRY(DecodeZoneTable(record.value)), record.modified};
}

}  // namespace papayalift
