#include "leader/fake_store_port.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace papayalift {

namespace {

constexpr Milliseconds kCallTimeout{1'000};
constexpr Milliseconds kAppliedLateDelay{2'500};
constexpr Milliseconds kWatchPollInterval{5};

}  // namespace

void FakeStorePort::RunLater(Milliseconds delay, std::function<void()> action) {
  WorldTimers().After(delay, [this, action = std::move(action)] {
    if (!m_is_detached) {
      action();
    }
  });
}

void FakeStorePort::Commit(const Transaction& transaction,
                           std::function<void(CommitAnswer)> in_turn) {
  const std::function<void(CommitAnswer)> callback = InTurn(std::move(in_turn));
  ++m_commits;
  m_max_entries =
      std::max(m_max_entries, transaction.comparisons().size() + transaction.writes().size());
  StoreFault fault = StoreFault::kNone;
  if (!m_faults.empty()) {
    fault = m_faults.front();
    m_faults.pop_front();
  }
  if (!m_is_reachable) {
    RunLater(kCallTimeout, [callback] {
      callback(CommitAnswer{TransactionResult::kUnclear, {}, {}, "store unreachable"});
    });
    return;
  }
  if (fault == StoreFault::kRefused) {
    RunLater(m_network_delay, [callback] {
      callback(CommitAnswer{TransactionResult::kNotSent, {}, {}, "store busy"});
    });
    return;
  }
  if (fault == StoreFault::kAppliedLate) {
    WorldTimers().After(kAppliedLateDelay, [this, transaction] { m_store.Apply(transaction); });
    RunLater(kCallTimeout, [callback] {
      callback(CommitAnswer{TransactionResult::kUnclear, {}, {}, "answer lost"});
    });
    return;
  }
  // A transaction in flight is applied even if its sender has ended.
  WorldTimers().After(m_network_delay, [this, transaction, callback, fault] {
    const CommitAnswer answer = m_store.Apply(transaction);
    if (fault == StoreFault::kAnswerLost) {
      RunLater(kCallTimeout, [callback] {
        callback(CommitAnswer{TransactionResult::kUnclear, {}, {}, "answer lost"});
      });
    } else {
      RunLater(m_network_delay, [callback, answer] { callback(answer); });
    }
  });
}

void FakeStorePort::RunRead(std::function<void(bool is_answered)> read) {
  bool is_answered = m_is_reachable;
  if (m_reads_to_refuse > 0) {
    --m_reads_to_refuse;
    is_answered = false;
  }
  RunLater(m_is_reachable ? m_network_delay * 2 : kCallTimeout,
           [read = std::move(read), is_answered] { read(is_answered); });
}

void FakeStorePort::Read(const std::string& key, std::function<void(ReadAnswer)> in_turn) {
  const std::function<void(ReadAnswer)> callback = InTurn(std::move(in_turn));
  ++m_reads;
  RunRead([this, key, callback](bool is_answered) {
    ReadAnswer answer;
    if (is_answered) {
      m_store.ChangesAfter("", m_store.revision());
      answer.result = ReadResult::kOk;
      if (const StoreItem* const item = m_store.Find(key); item != nullptr) {
        answer.items.push_back(*item);
      }
      answer.revision = m_store.revision();
    }
    callback(answer);
  });
}

void FakeStorePort::ReadAll(const std::string& prefix, std::function<void(ReadAnswer)> in_turn) {
  const std::function<void(ReadAnswer)> callback = InTurn(std::move(in_turn));
  ++m_range_reads;
  // The answer holds what the store held half way, so later changes may overtake it.
  const std::shared_ptr<ReadAnswer> answer = std::make_shared<ReadAnswer>();
  RunLater(m_network_delay, [this, prefix, answer] {
    answer->items = m_store.ItemsBelow(prefix);
    answer->revision = m_store.revision();
  });
  RunRead([answer, callback](bool is_answered) {
    ReadAnswer delivered;
    if (is_answered) {
      delivered = *answer;
      delivered.result = ReadResult::kOk;
    }
    callback(delivered);
  });
}

void FakeStorePort::Watch(const std::string& prefix, Revision after, Milliseconds wait,
                          std::function<void(WatchAnswer)> in_turn) {
  const std::function<void(WatchAnswer)> callback = InTurn(std::move(in_turn));
  if (!m_is_reachable) {
    RunLater(wait + kCallTimeout, [callback] { callback(WatchAnswer{}); });
    return;
  }
  PollWatch(prefix, after, m_timers.clock().Now() + wait, callback);
}

void FakeStorePort::PollWatch(const std::string& prefix, Revision after, Milliseconds until,
                              const std::function<void(WatchAnswer)>& callback) {
  RunLater(kWatchPollInterval, [this, prefix, after, until, callback] {
    WatchAnswer answer;
    answer.result = WatchResult::kOk;
    answer.revision = m_watches_are_silent ? after : m_store.revision();
    std::optional<std::vector<WatchedChange>> changes =
        m_watches_are_silent ? std::vector<WatchedChange>() : m_store.ChangesAfter(prefix, after);
    if (!changes.has_value()) {
      answer.result = WatchResult::kCompacted;
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
                               std::function<void(LeaseAnswer)> in_turn) {
  const std::function<void(LeaseAnswer)> callback = InTurn(std::move(in_turn));
  const bool is_reachable = m_is_reachable;
  RunLater(
      is_reachable ? kNetworkDelay : kCallTimeout, [this, time_to_live, callback, is_reachable] {
        LeaseAnswer answer;
        if (is_reachable) {
          answer = LeaseAnswer{LeaseResult::kOk, m_store.Grant(time_to_live), time_to_live, ""};
        }
        callback(answer);
      });
}

void FakeStorePort::RenewLease(StoreLease lease, std::function<void(LeaseAnswer)> in_turn) {
  const std::function<void(LeaseAnswer)> callback = InTurn(std::move(in_turn));
  const bool is_lost = m_renewals_to_lose > 0;
  m_renewals_to_lose -= is_lost ? 1 : 0;
  const bool is_reachable = m_is_reachable && !is_lost;
  RunLater(is_reachable ? kNetworkDelay : kCallTimeout, [this, lease, callback, is_reachable] {
    LeaseAnswer answer;
    if (is_reachable) {
      answer.result = m_store.KeepLeaseAlive(lease) ? LeaseResult::kOk : LeaseResult::kExpired;
    }
    callback(answer);
  });
}

void FakeStorePort::RevokeLease(StoreLease lease, std::function<void(LeaseAnswer)> in_turn) {
  const std::function<void(LeaseAnswer)> callback = InTurn(std::move(in_turn));
  const bool is_reachable = m_is_reachable;
  RunLater(is_reachable ? kNetworkDelay : kCallTimeout, [this, lease, callback, is_reachable] {
    LeaseAnswer answer;
    if (is_reachable) {
      m_store.End(lease);
      answer.result = LeaseResult::kOk;
    }
    callback(answer);
  });
}

}  // namespace papayalift
