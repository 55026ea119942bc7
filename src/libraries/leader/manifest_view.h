/// The newest manifest known to this process, and when the store last confirmed it.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "libraries/loop/timers.h"
#include "libraries/work/fleet_schema.h"
#include "libraries/work/store_port.h"

namespace papayalift {

enum class Freshness { kConfirmed, kUnknown };

class ManifestView {
 public:
  ManifestView(Timers& timers, StorePort& store, const FleetSchema& schema);

  /// Null until the first manifest was read.
  std::shared_ptr<const FleetManifest> manifest() const { return m_manifest; }
  Revision revision() const { return m_revision; }
  /// Time since the sending of the latest store call that confirmed the manifest.
  Milliseconds age() const { return m_timers.clock().Now() - m_confirmed_at; }

  /// Ensures that the manifest was confirmed within the last `limit`, asking the store if
  /// necessary. Calls back at once with kConfirmed if it was, and with kUnknown while the store is
  /// unreachable.
  void Confirm(Milliseconds limit, std::function<void(Freshness)> callback);

  /// Adopts a manifest read from the store. A lower version never replaces a higher one.
  void Adopt(const StoreItem& item);

  /// Records that a store call sent at `sent_at` has confirmed the revision held here.
  void RecordConfirmation(Milliseconds sent_at);

 private:
  bool IsUnreachable() const;
  void RequestIfIdle();
  void ScheduleProbe();
  void SendRequest();
  void OnCompared(Milliseconds sent_at, const CommitAnswer& answer);
  void OnRead(Milliseconds sent_at, const ReadAnswer& answer);
  void FinishRequest(Freshness freshness);

  Timers& m_timers;
  StorePort& m_store;
  const FleetSchema& m_schema;
  std::shared_ptr<const FleetManifest> m_manifest;
  Revision m_revision;
  Milliseconds m_confirmed_at{-3'600'000};
  bool m_is_request_in_flight = false;
  /// Failed requests since the last answer.
  int m_failures = 0;
  Milliseconds m_failed_at{0};
  Milliseconds m_last_requested_at{-3'600'000};
  std::vector<std::function<void(Freshness)>> m_pending_callbacks;
};

}  // namespace papayalift
