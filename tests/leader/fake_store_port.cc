#include "leader/fake_store_port.h"

#include <utility>

namespace papayalift {

namespace {

constexpr Milliseconds kWay{2};
constexpr Milliseconds kCallLimit{1'000};
constexpr Milliseconds kDoneLateAfter{2'500};
constexpr Milliseconds kWatchPoll{5};

}  // namespace

// --- the store ---

const StoreItem* FakeStore::Find(const std::string& key) const {
  const auto found = m_items.find(key);
  return found == m_items.end() ? nullptr : &found->second;
}

CommitAnswer FakeStore::Apply(const Transaction& transaction) {
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
  m_revision = m_revision.Next();
  for (const Write& write : transaction.writes()) {
    if (write.kind == WriteKind::kDelete) {
      if (m_items.erase(write.key) > 0) {
        Note(WatchedChange{StoreItem{write.key, "", m_revision, Revision(0)}, WriteKind::kDelete});
      }
      continue;
    }
    StoreItem& item = m_items[write.key];
    item = StoreItem{write.key, write.value, m_revision,
                     item.created.value() == 0 ? m_revision : item.created};
    m_lease_of_key[write.key] = write.lease;
    Note(WatchedChange{item, WriteKind::kPut});
  }
  answer.revision = m_revision;
  return answer;
}

std::vector<StoreItem> FakeStore::ItemsBelow(const std::string& prefix) const {
  std::vector<StoreItem> items;
  for (auto entry = m_items.lower_bound(prefix);
       entry != m_items.end() && entry->first.starts_with(prefix); ++entry) {
    items.push_back(entry->second);
  }
  return items;
}

void FakeStore::Put(const std::string& key, const std::string& value) {
  Apply(Transaction().Put(key, value));
}

void FakeStore::Remove(const std::string& key) { Apply(Transaction().Delete(key)); }

StoreLease FakeStore::Grant(Milliseconds time_to_live) {
  const StoreLease lease(++m_last_lease);
  m_leases[lease] = Lease{time_to_live, m_timers.clock().Now() + time_to_live};
  return lease;
}

bool FakeStore::Keep(StoreLease lease) {
  ExpireLeases();
  const auto found = m_leases.find(lease);
  if (found == m_leases.end()) {
    return false;
  }
  found->second.ends_at = m_timers.clock().Now() + found->second.time_to_live;
  return true;
}

void FakeStore::End(StoreLease lease) {
  m_leases.erase(lease);
  for (auto entry = m_lease_of_key.begin(); entry != m_lease_of_key.end();) {
    if (entry->second == lease) {
      const std::string key = entry->first;
      entry = m_lease_of_key.erase(entry);
      if (m_items.erase(key) > 0) {
        m_revision = m_revision.Next();
        Note(WatchedChange{StoreItem{key, "", m_revision, Revision(0)}, WriteKind::kDelete});
      }
    } else {
      ++entry;
    }
  }
}

void FakeStore::ExpireLeases() {
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

void FakeStore::Note(WatchedChange change) { m_history.push_back(std::move(change)); }

std::optional<std::vector<WatchedChange>> FakeStore::ChangesAfter(const std::string& prefix,
                                                                  Revision after) const {
  const_cast<FakeStore*>(this)->ExpireLeases();
  if (after < m_forgotten) {
    return std::nullopt;
  }
  std::vector<WatchedChange> changes;
  for (const WatchedChange& change : m_history) {
    if (change.item.revision > after && change.item.key.starts_with(prefix)) {
      changes.push_back(change);
    }
  }
  return changes;
}

// --- one node's way to it ---

void FakeStorePort::Later(Milliseconds delay, std::function<void()> action) {
  m_timers.After(delay, [this, action = std::move(action)] {
    if (!m_is_abandoned) {
      action();
    }
  });
}

void FakeStorePort::Commit(const Transaction& transaction,
                           std::function<void(CommitAnswer)> callback) {
  ++m_commits;
  StoreFault fault = StoreFault::kNone;
  if (!m_faults.empty()) {
    fault = m_faults.front();
    m_faults.pop_front();
  }
  if (!m_is_reachable) {
    Later(kCallLimit, [callback] {
      callback(CommitAnswer{TransactionResult::kUnclear, {}, {}, "cut"});
    });
    return;
  }
  if (fault == StoreFault::kRefused) {
    Later(kWay, [callback] {
      callback(CommitAnswer{TransactionResult::kNotSent, {}, {}, "busy"});
    });
    return;
  }
  if (fault == StoreFault::kDoneLate) {
    m_timers.After(kDoneLateAfter, [this, transaction] { m_store.Apply(transaction); });
    Later(kCallLimit, [callback] {
      callback(CommitAnswer{TransactionResult::kUnclear, {}, {}, "lost"});
    });
    return;
  }
  // What is on its way arrives, whether its sender lives or not.
  m_timers.After(kWay, [this, transaction, callback, fault] {
    const CommitAnswer answer = m_store.Apply(transaction);
    if (fault == StoreFault::kAnswerLost) {
      Later(kCallLimit, [callback] {
        callback(CommitAnswer{TransactionResult::kUnclear, {}, {}, "lost"});
      });
    } else {
      Later(kWay, [callback, answer] { callback(answer); });
    }
  });
}

void FakeStorePort::Read(const std::string& key, std::function<void(ReadAnswer)> callback) {
  const bool is_reachable = m_is_reachable;
  Later(is_reachable ? kWay * 2 : kCallLimit, [this, key, callback, is_reachable] {
    ReadAnswer answer;
    if (is_reachable) {
      m_store.ChangesAfter("", m_store.revision());
      answer.result = ReadResult::kOk;
      if (const StoreItem* const item = m_store.Find(key); item != nullptr) {
        answer.items.push_back(*item);
      }
      answer.at = m_store.revision();
    }
    callback(answer);
  });
}

void FakeStorePort::ReadAll(const std::string& prefix, std::function<void(ReadAnswer)> callback) {
  const bool is_reachable = m_is_reachable;
  Later(is_reachable ? kWay * 2 : kCallLimit, [this, prefix, callback, is_reachable] {
    ReadAnswer answer;
    if (is_reachable) {
      answer.result = ReadResult::kOk;
      answer.items = m_store.ItemsBelow(prefix);
      answer.at = m_store.revision();
    }
    callback(answer);
  });
}

void FakeStorePort::Watch(const std::string& prefix, Revision after, Milliseconds wait,
                          std::function<void(WatchAnswer)> callback) {
  if (!m_is_reachable) {
    Later(wait + kCallLimit, [callback] { callback(WatchAnswer{}); });
    return;
  }
  PollWatch(prefix, after, m_timers.clock().Now() + wait, std::move(callback));
}

void FakeStorePort::PollWatch(const std::string& prefix, Revision after, Milliseconds until,
                              std::function<void(WatchAnswer)> callback) {
  Later(kWatchPoll, [this, prefix, after, until, callback] {
    WatchAnswer answer;
    answer.result = WatchResult::kOk;
    answer.at = m_store.revision();
    std::optional<std::vector<WatchedChange>> changes = m_store.ChangesAfter(prefix, after);
    if (!changes.has_value()) {
      answer.result = WatchResult::kForgotten;
      callback(answer);
      return;
    }
    if (changes->empty() && m_timers.clock().Now() < until) {
      PollWatch(prefix, after, until, callback);
      return;
    }
    answer.changes = *std::move(changes);
    callback(answer);
  });
}

void FakeStorePort::GrantLease(Milliseconds time_to_live,
                               std::function<void(LeaseAnswer)> callback) {
  const bool is_reachable = m_is_reachable;
  Later(is_reachable ? kWay : kCallLimit, [this, time_to_live, callback, is_reachable] {
    LeaseAnswer answer;
    if (is_reachable) {
      answer = LeaseAnswer{LeaseResult::kOk, m_store.Grant(time_to_live), time_to_live, ""};
    }
    callback(answer);
  });
}

void FakeStorePort::KeepLease(StoreLease lease, std::function<void(LeaseAnswer)> callback) {
  const bool is_reachable = m_is_reachable;
  Later(is_reachable ? kWay : kCallLimit, [this, lease, callback, is_reachable] {
    LeaseAnswer answer;
    if (is_reachable) {
      answer.result = m_store.Keep(lease) ? LeaseResult::kOk : LeaseResult::kEnded;
    }
    callback(answer);
  });
}

void FakeStorePort::EndLease(StoreLease lease, std::function<void(LeaseAnswer)> callback) {
  const bool is_reachable = m_is_reachable;
  Later(is_reachable ? kWay : kCallLimit, [this, lease, callback, is_reachable] {
    LeaseAnswer answer;
    if (is_reachable) {
      m_store.End(lease);
      answer.result = LeaseResult::kOk;
    }
    callback(answer);
  });
}

}  // namespace papayalift
