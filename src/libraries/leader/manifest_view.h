/// The newest manifest this process knows, and how recently the store confirmed it.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "libraries/loop/timers.h"
#include "libraries/work/fleet_directory.h"
#include "libraries/work/store_port.h"

namespace papayalift {

enum class Freshness { kConfirmed, kUnknown };

class ManifestView {
 public:
  ManifestView(Timers& timers, StorePort& store, const FleetDirectory& directory);

  /// Null until the first one was read.
  std::shared_ptr<const FleetManifest> manifest() const { return m_manifest; }
  Revision revision() const { return m_revision; }
  /// Time since the store call was sent whose answer confirmed it last.
  Milliseconds age() const { return m_timers.clock().Now() - m_confirmed_at; }

  /// Sees to it that the view was confirmed within `limit`; calls back at once where it was, and
  /// with kUnknown at once while the store is out of reach.
  void Confirm(Milliseconds limit, std::function<void(Freshness)> callback);

  /// Takes a manifest that the store has shown; an older version never replaces a newer one.
  void Adopt(const StoreItem& item);

  /// The store compared the revision held here in a call that was sent at `sent_at`.
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
  const FleetDirectory& m_directory;
  std::shared_ptr<const FleetManifest> m_manifest;
  Revision m_revision;
  Milliseconds m_confirmed_at{-3'600'000};
  bool m_is_request_in_flight = false;
  /// Questions without an answer since the last answer.
  int m_failures = 0;
  Milliseconds m_failed_at{0};
  Milliseconds m_last_wanted_at{-3'600'000};
  std::vector<std::function<void(Freshness)>> m_pending_callbacks;
};

}  // namespace papayalift
