/// Leader election through a key that is attached to a lease in the store.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "libraries/leader/term_history.h"
#include "libraries/leader/term_record.h"
#include "libraries/loop/timers.h"
#include "libraries/work/run_messages.h"
#include "libraries/work/store_port.h"

namespace papayalift {

struct ElectionSettings {
  /// Name of this node in the term record.
  std::string node;
  Milliseconds time_to_live{1'200};
  Milliseconds renewal_interval{300};
  /// How long one watch call on the term key waits for a change.
  Milliseconds watch_wait{2'000};
  /// Processor time that this node may use, in cores. Leading takes most of a small node's, so
  /// nodes with a larger share are preferred.
  double processor_share = 1;
};

struct Term {
  FencingToken token;
  /// Revision of the term key, for conditional writes.
  Revision revision;
};

struct ElectionCallbacks {
  std::function<void(Term)> on_elected;
  std::function<void(std::string reason)> on_lost;
};

class LeaderElection {
 public:
  LeaderElection(Timers& timers, StorePort& store, ElectionSettings settings,
                 ElectionCallbacks callbacks);

  /// Watches the term key and claims the term once it is free.
  void Start();

  /// Releases the term, so that another node need not wait for the lease to expire. This process
  /// does not claim the term again.
  void Resign();

  /// Ends leadership because an order or a write has shown that another node holds the term.
  void StepDown(const std::string& reason);

  bool is_leader() const { return m_is_leader; }
  /// Send time of the latest call whose answer confirmed that this node holds the term.
  Milliseconds confirmed_at() const { return m_confirmed_at; }
  void RecordConfirmation(Milliseconds sent_at);

  const TermHistory& history() const { return m_history; }

  /// Time since the store was last known to be reachable.
  Milliseconds contact_age() const { return m_timers.clock().Now() - m_contact_at; }

 private:
  void ReadTerm();
  void OnTermRead(const ReadAnswer& answer);
  void ReadTermLater();
  bool IsOwnPreviousTerm(const TermRecord& term) const;
  void EndPreviousTerm(StoreLease lease);
  void UpdateHolder(const StoreItem& item);
  void ScheduleTakeover(const TermRecord& holder);
  /// Ends the holder's term and claims it.
  void TakeOver(const TermRecord& holder);
  void RetryTakeover(const TermRecord& holder, const std::string& error);
  Milliseconds ClaimDelay() const;
  void WatchTerm(Revision after);
  void OnTermChanged(const WatchAnswer& answer);
  /// Applies an item below the term's key that is not the term itself.
  void ApplyLeaseRecord(const StoreItem& item);
  void ScheduleClaim();
  void ClaimTerm(StoreLease lease);
  void OnClaimed(const TermRecord& record, Milliseconds sent_at, const CommitAnswer& answer);
  void ReadClaim(const TermRecord& record, Milliseconds sent_at);
  void BecomeLeader(Revision revision, StoreLease lease, Milliseconds sent_at);
  void RenewTerm();
  /// Renews the term after the delay and then each interval, whether or not calls are answered: the
  /// time until an unanswered call counts as failed is most of what the term's lease lasts.
  void RenewTermAfter(Milliseconds delay);
  void OnRenewed(Milliseconds sent_at, const LeaseAnswer& answer);
  /// The term key does not exist, as of an answer of the store.
  void RecordFreeTerm();
  void LogTermLost(const std::string& reason) const;
  void RecordContact(Milliseconds at);
  Milliseconds Now() const { return m_timers.clock().Now(); }

  Timers& m_timers;
  StorePort& m_store;
  const ElectionSettings m_settings;
  const ElectionCallbacks m_callbacks;
  bool m_is_leader = false;
  bool m_resigned = false;
  /// Rises with each change of role or read of the term. Answers to calls of an earlier generation
  /// are ignored.
  std::uint64_t m_generation = 0;
  std::uint64_t m_claim_count = 0;
  TermHistory m_history;
  StoreLease m_lease;
  /// Holder of the term as last read; empty while the term is free.
  std::optional<TermRecord> m_holder;
  /// Largest processor share of all holders this process has seen; 0 while it has seen none.
  double m_largest_share = 0;
  /// Who held the term last, as far as this process has seen; empty if it has seen no holder.
  std::string m_last_holder;
  /// Since when the term has been seen to be free.
  std::optional<Milliseconds> m_free_since;
  Milliseconds m_elected_at{0};
  Milliseconds m_confirmed_at{0};
  /// When the first renewal after the last answer was sent.
  std::optional<Milliseconds> m_renewal_sent_at;
  /// The longest time by which a renewal of this term was sent too late.
  Milliseconds m_longest_renewal_delay{0};
  Milliseconds m_contact_at;
  bool m_contact_lost = false;
};

}  // namespace papayalift
