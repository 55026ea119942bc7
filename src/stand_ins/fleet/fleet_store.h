/// An in-memory store with conditional transactions, leases and watches, modeled on the users'
/// platform.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/loop/timers.h"
#include "libraries/work/store_port.h"

namespace papayalift {

class FleetStore {
 public:
  explicit FleetStore(Timers& timers) : m_timers(timers) {}

  /// Answers kNotSent, and applies nothing, if a write names a lease that has ended.
  CommitAnswer Apply(const Transaction& transaction);
  std::vector<StoreItem> ItemsBelow(const std::string& prefix) const;
  const StoreItem* Find(const std::string& key) const;
  Revision revision() const { return m_revision; }

  /// Unconditional writes, as by an operator or a minion.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  StoreLease Grant(Milliseconds time_to_live);
  bool KeepLeaseAlive(StoreLease lease);
  void End(StoreLease lease);
  /// Ends all leases, as an outage of the store may.
  void EndAllLeases();

  /// Returns the changes under the prefix after a revision, or nullopt if they were compacted.
  std::optional<std::vector<WatchedChange>> ChangesAfter(const std::string& prefix,
                                                         Revision after) const;
  /// Discards the history up to now, so that watches from an earlier revision fail.
  void CompactHistory() { m_compacted_revision = m_revision; }

 private:
  struct Lease {
    Milliseconds time_to_live{0};
    Milliseconds ends_at{0};
  };

  void ExpireLeases();
  bool HasLeasesOf(const Transaction& transaction) const;
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
