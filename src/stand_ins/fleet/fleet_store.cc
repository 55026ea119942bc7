#include "stand_ins/fleet/fleet_store.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace papayalift {

const StoreItem* FleetStore::Find(const std::string& key) const {
  const auto found = m_items.find(key);
  return found == m_items.end() ? nullptr : &found->second;
}

CommitAnswer FleetStore::Apply(const Transaction& transaction) {
  ExpireLeases();
  CommitAnswer answer;
  answer.result = TransactionResult::kApplied;
  for (const Comparison& comparison : transaction.comparisons()) {
    const StoreItem* const item = Find(comparison.key);
    StoreItem shown =
        item == nullptr ? StoreItem{comparison.key, "", Revision(0), Revision(0)} : *item;
    if (shown.revision != comparison.modified) {
      answer.result = TransactionResult::kConflict;
    }
    answer.items.push_back(std::move(shown));
  }
  if (answer.result == TransactionResult::kConflict) {
    return answer;
  }
  answer.items.clear();
  if (!HasLeasesOf(transaction)) {
    answer.result = TransactionResult::kNotSent;
    answer.error = "no such lease";
    return answer;
  }
  m_revision = m_revision.Next();
  for (const Write& write : transaction.writes()) {
    if (write.kind == WriteKind::kDelete) {
      if (m_items.erase(write.key) > 0) {
        AppendToHistory(
            WatchedChange{StoreItem{write.key, "", m_revision, Revision(0)}, WriteKind::kDelete});
      }
      continue;
    }
    StoreItem& item = m_items[write.key];
    item = StoreItem{write.key, write.value, m_revision,
                     item.create_revision.value() == 0 ? m_revision : item.create_revision};
    m_lease_of_key[write.key] = write.lease;
    AppendToHistory(WatchedChange{item, WriteKind::kPut});
  }
  answer.revision = m_revision;
  return answer;
}

bool FleetStore::HasLeasesOf(const Transaction& transaction) const {
  return std::all_of(transaction.writes().begin(), transaction.writes().end(),
                     [this](const Write& write) {
                       return write.lease == StoreLease{} || m_leases.contains(write.lease);
                     });
}

std::vector<StoreItem> FleetStore::ItemsBelow(const std::string& prefix) const {
  std::vector<StoreItem> items;
  for (auto entry = m_items.lower_bound(prefix);
       entry != m_items.end() && entry->first.starts_with(prefix); ++entry) {
    items.push_back(entry->second);
  }
  return items;
}

void FleetStore::Put(const std::string& key, const std::string& value) {
  Apply(Transaction().Put(key, value));
}

void FleetStore::Remove(const std::string& key) { Apply(Transaction().Delete(key)); }

StoreLease FleetStore::Grant(Milliseconds time_to_live) {
  const StoreLease lease(++m_last_lease);
  m_leases[lease] = Lease{time_to_live, m_timers.clock().Now() + time_to_live};
  return lease;
}

bool FleetStore::KeepLeaseAlive(StoreLease lease) {
  ExpireLeases();
  const auto found = m_leases.find(lease);
  if (found == m_leases.end()) {
    return false;
  }
  found->second.ends_at = m_timers.clock().Now() + found->second.time_to_live;
  return true;
}

void FleetStore::EndAllLeases() {
  while (!m_leases.empty()) {
    End(m_leases.begin()->first);
  }
}

void FleetStore::End(StoreLease lease) {
  m_leases.erase(lease);
  for (auto entry = m_lease_of_key.begin(); entry != m_lease_of_key.end();) {
    if (entry->second == lease) {
      const std::string key = entry->first;
      entry = m_lease_of_key.erase(entry);
      if (m_items.erase(key) > 0) {
        m_revision = m_revision.Next();
        AppendToHistory(
            WatchedChange{StoreItem{key, "", m_revision, Revision(0)}, WriteKind::kDelete});
      }
    } else {
      ++entry;
    }
  }
}

void FleetStore::ExpireLeases() {
  std::vector<StoreLease> ended;
  for (const auto& [lease, state] : m_leases) {
    if (state.ends_at <= m_timers.clock().Now()) {
      ended.push_back(lease);
    }
  }
  for (const StoreLease lease : ended) {
    End(lease);
  }
}

void FleetStore::AppendToHistory(WatchedChange change) { m_history.push_back(std::move(change)); }

std::optional<std::vector<WatchedChange>> FleetStore::ChangesAfter(const std::string& prefix,
                                                                   Revision after) const {
  const_cast<FleetStore*>(this)->ExpireLeases();
  if (after < m_compacted_revision) {
    return std::nullopt;
  }
  std::vector<WatchedChange> changes;
  const auto first = std::upper_bound(m_history.begin(), m_history.end(), after,
                                      [](Revision revision, const WatchedChange& change) {
                                        return revision < change.item.revision;
                                      });
  std::copy_if(
      first, m_history.end(), std::back_inserter(changes),
      [&prefix](const WatchedChange& change) { return change.item.key.starts_with(prefix); });
  return changes;
}

}  // namespace papayalift
