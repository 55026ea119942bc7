/// One leader at a time, by a key under a lease of the store.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "libraries/leader/term_record.h"
#include "libraries/loop/timers.h"
#include "libraries/work/run_messages.h"
#include "libraries/work/store_port.h"

namespace papayalift {

struct ElectionSettings {
  /// Names this process in the term's record.
  std::string node;
  Milliseconds time_to_live{1'200};
  Milliseconds renewal_interval{300};
  /// How long one question after the term waits for a change.
  Milliseconds watch_wait{2'000};
  /// Share of a core that this node may use. Leading takes most of a small node's, so nodes with
  /// more come first.
  double processor_share = 1;
};

struct Term {
  FencingToken token;
  /// Of the term's key, for conditions.
  Revision revision;
};

/// What the owner does as terms come and go.
struct ElectionCallbacks {
  std::function<void(Term)> on_elected;
  std::function<void(std::string reason)> on_lost;
};

class LeaderElection {
 public:
  LeaderElection(Timers& timers, StorePort& store, ElectionSettings settings,
                 ElectionCallbacks callbacks);

  /// Follows the term, and wins it once nobody holds it.
  void Start();

  /// Gives the term back, so that another node need not wait for the lease to lapse. Does not run
  /// for it again.
  void Resign();

  /// Someone else holds the term, as an order or a write has shown.
  void StepDown(const std::string& reason);

  bool is_leader() const { return m_is_leader; }
  /// When the call was sent whose answer last showed that the term is held.
  Milliseconds confirmed_at() const { return m_confirmed_at; }
  void RecordConfirmation(Milliseconds sent_at);

  /// Time since the store is known to have been in reach.
  Milliseconds contact_age() const { return m_timers.clock().Now() - m_contact_at; }

 private:
  void ReadTerm();
  void ReadTermLater();
  bool IsOwnPreviousTerm(const TermRecord& term) const;
  void EndPreviousTerm(StoreLease lease);
  void UpdateHolder(const StoreItem& item);
  void ScheduleTakeover(const TermRecord& holder);
  Milliseconds ClaimDelay() const;
  void WatchTerm(Revision after);
  void ScheduleClaim();
  void ClaimTerm(StoreLease lease);
  void OnClaimed(const TermRecord& record, Milliseconds sent_at, const CommitAnswer& answer);
  void ReadClaim(const TermRecord& record, Milliseconds sent_at);
  void BecomeLeader(Revision revision, StoreLease lease, Milliseconds sent_at);
  void RenewTerm();
  void OnRenewed(Milliseconds sent_at, const LeaseAnswer& answer);
  void RecordContact(Milliseconds at);
  Milliseconds Now() const { return m_timers.clock().Now(); }

  Timers& m_timers;
  StorePort& m_store;
  const ElectionSettings m_settings;
  const ElectionCallbacks m_callbacks;
  bool m_is_leader = false;
  bool m_resigned = false;
  /// Answers to calls of an earlier round are dropped.
  std::uint64_t m_generation = 0;
  std::uint64_t m_claim_count = 0;
  StoreLease m_lease;
  /// Who holds the term, as far as is known; empty while nobody does.
  std::optional<TermRecord> m_holder;
  /// Of all holders this process has seen; 0 while it has seen none.
  double m_largest_share = 0;
  Milliseconds m_confirmed_at{0};
  Milliseconds m_contact_at;
  bool m_contact_lost = false;
};

}  // namespace papayalift
