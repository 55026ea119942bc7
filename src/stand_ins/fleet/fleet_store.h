/// A store in memory with conditional transactions, leases and watches, as the users' platform has
/// it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/loop/timers.h"
#include "libraries/work/store_port.h"

namespace papayalift {

/// Shared by all who use it.
class FleetStore {
 public:
  explicit FleetStore(Timers& timers) : m_timers(timers) {}

  CommitAnswer Apply(const Transaction& transaction);
  std::vector<StoreItem> ItemsBelow(const std::string& prefix) const;
  const StoreItem* Find(const std::string& key) const;
  Revision revision() const { return m_revision; }

  /// As an operator or a minion writes.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  StoreLease Grant(Milliseconds time_to_live);
  bool KeepLeaseAlive(StoreLease lease);
  void End(StoreLease lease);

  /// Changes below the prefix after a revision; empty optional where they are forgotten.
  std::optional<std::vector<WatchedChange>> ChangesAfter(const std::string& prefix,
                                                         Revision after) const;
  /// Changes up to now can't be watched any more.
  void CompactHistory() { m_compacted_revision = m_revision; }

 private:
  struct Lease {
    Milliseconds time_to_live{0};
    Milliseconds ends_at{0};
  };

  void ExpireLeases();
  void AppendToHistory(WatchedChange change);

  Timers& m_timers;
  Revision m_revision{1};
  Revision m_compacted_revision{0};
  std::map<std::string, StoreItem> m_items;
  std::map<std::string, StoreLease> m_lease_of_key;
  std::map<StoreLease, Lease> m_leases;
  std::int64_t m_last_lease = 0;
  std::vector<WatchedChange> m_history;
};

}  // namespace papayalift
