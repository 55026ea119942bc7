#include "libraries/leader/leader_election.h"

#include <algorithm>
#include <utility>

#include "libraries/base/hash.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

constexpr Milliseconds kRetryDelay{250};
/// Spreads the claims of nodes that see a free term at the same time.
constexpr std::uint64_t kMaxClaimJitterMilliseconds = 40;
/// A node counts as weaker than another if its processor share is below this fraction of the
/// other's.
constexpr double kWeakerShareRatio = 0.7;
/// Additional time that a weaker node waits before it claims a free term.
constexpr Milliseconds kWeakerClaimDelay{400};
/// Claim delay while no holder has been seen; divided by the node's processor share.
constexpr Milliseconds kNoHolderClaimDelay{50};
/// Time before the term of a weaker holder is ended. A handover interrupts planning for some
/// hundred milliseconds, so it is not done at once.
constexpr Milliseconds kTakeoverDelay{1'500};
/// A node whose last contact with the store is older does not take over.
constexpr Milliseconds kMaxContactAge{2'500};

std::int64_t CpuMilli(double processor_share) {
  constexpr double kMilliPerCore = 1'000;
  return static_cast<std::int64_t>(processor_share * kMilliPerCore);
}

}  // namespace

LeaderElection::LeaderElection(Timers& timers, StorePort& store, ElectionSettings settings,
                               ElectionCallbacks callbacks)
    : m_timers(timers),
      m_store(store),
      m_settings(std::move(settings)),
      m_callbacks(std::move(callbacks)),
      m_contact_at(timers.clock().Now()) {}

void LeaderElection::Start() { ReadTerm(); }

void LeaderElection::RecordContact(Milliseconds at) {
  m_contact_at = std::max(m_contact_at, at);
  if (m_contact_lost) {
    m_contact_lost = false;
    LogEvent(LogLevel::kInfo, "election", "store reached again").Write();
  }
}

void LeaderElection::RecordConfirmation(Milliseconds sent_at) {
  m_confirmed_at = std::max(m_confirmed_at, sent_at);
  RecordContact(sent_at);
}

void LeaderElection::ReadTerm() {
  if (m_resigned) {
    return;
  }
  const std::uint64_t generation = ++m_generation;
  const Milliseconds sent_at = Now();
  m_store.ReadAll(kTermKey, [this, generation, sent_at](const ReadAnswer& answer) {
    if (generation != m_generation) {
      return;
    }
    if (answer.result != ReadResult::kOk) {
      if (!m_contact_lost) {
        m_contact_lost = true;
        LogEvent(LogLevel::kWarning, "election", "store lost").Reason(answer.error).Write();
      }
      ReadTermLater();
      return;
    }
    RecordContact(sent_at);
    OnTermRead(answer);
  });
}

void LeaderElection::OnTermRead(const ReadAnswer& answer) {
  const StoreItem* term = nullptr;
  for (const StoreItem& item : answer.items) {
    if (item.key == kTermKey) {
      term = &item;
    } else {
      ApplyLeaseRecord(item);
    }
  }
  if (term == nullptr) {
    RecordFreeTerm();
    ScheduleClaim();
    return;
  }
  UpdateHolder(*term);
  if (m_holder.has_value() && IsOwnPreviousTerm(*m_holder)) {
    EndPreviousTerm(m_holder->lease);
  } else {
    // Watches from the revision of the read. The term's last change may be older than the history
    // that the store keeps.
    WatchTerm(std::max(term->revision, answer.revision));
  }
}

void LeaderElection::ApplyLeaseRecord(const StoreItem& item) {
  if (item.key != kLeaseRecordKey) {
    return;
  }
  if (const absl::StatusOr<LeaseRecord> record = DecodeLeaseRecord(item.value); record.ok()) {
    m_history.RecordLeases(*record, Now());
  } else {
    m_history.RecordUnreadableLeases();
    LogEvent(LogLevel::kError, "election", "the lease record can't be decoded")
        .Reason(std::string(record.status().message()))
        .Write();
  }
}

/// Whether the term was held by an earlier process of this node. That process has ended, since this
/// one has replaced it.
bool LeaderElection::IsOwnPreviousTerm(const TermRecord& term) const {
  return term.node == m_settings.node && m_claim_count == 0;
}

void LeaderElection::UpdateHolder(const StoreItem& item) {
  const std::optional<TermRecord> holder = DecodeTermRecord(item.value);
  if (!holder.has_value()) {
    LogEvent(LogLevel::kError, "election", "the term record can't be decoded")
        .Field("revision", item.revision.value())
        .Write();
  }
  const FencingToken token(item.revision.value());
  if (holder.has_value() && holder->records_leases) {
    m_history.RecordTerm(token, Now());
  } else {
    m_history.RecordTermWithoutRecord(token);
  }
  m_free_since.reset();
  if (holder == m_holder) {
    return;
  }
  m_holder = holder;
  if (!m_holder.has_value()) {
    return;
  }
  m_last_holder = m_holder->node;
  m_largest_share = std::max(m_largest_share, m_holder->processor_share);
  if (m_holder->processor_share < m_settings.processor_share * kWeakerShareRatio) {
    ScheduleTakeover(*m_holder);
  }
}

/// Revoking a lease that has already ended has no effect, so several nodes may do this at once.
void LeaderElection::ScheduleTakeover(const TermRecord& holder) {
  m_timers.After(kTakeoverDelay, [this, holder] {
    if (m_resigned || m_is_leader || m_holder != holder) {
      return;
    }
    if (contact_age() > kMaxContactAge) {
      ScheduleTakeover(holder);
      return;
    }
    LogEvent(LogLevel::kInfo, "election", "ending the term of a weaker node")
        .Field("holder", holder.node)
        .Field("holder_cpu_milli", CpuMilli(holder.processor_share))
        .Field("cpu_milli", CpuMilli(m_settings.processor_share))
        .Field("contact_age_ms", contact_age().count())
        .Write();
    TakeOver(holder);
  });
}

void LeaderElection::TakeOver(const TermRecord& holder) {
  // NOTE: the lease is granted first, so that this node claims the term as soon as it is free. To
  // wait for the watch would leave it to whoever is quickest, and that may be a weaker node again.
  m_store.GrantLease(m_settings.time_to_live, [this, holder](const LeaseAnswer& granted) {
    if (granted.result != LeaseResult::kOk) {
      RetryTakeover(holder, granted.error);
      return;
    }
    m_store.RevokeLease(holder.lease, [this, holder, granted](const LeaseAnswer& answer) {
      if (answer.result == LeaseResult::kFailed) {
        RetryTakeover(holder, answer.error);
      } else if (!m_resigned && !m_is_leader && m_holder.value_or(holder) == holder) {
        ClaimTerm(granted.lease);
      }
    });
  });
}

void LeaderElection::RetryTakeover(const TermRecord& holder, const std::string& error) {
  LogEvent(LogLevel::kWarning, "election",
           "the term of a weaker node could not be ended; trying again")
      .Reason(error)
      .Write();
  ScheduleTakeover(holder);
}

Milliseconds LeaderElection::ClaimDelay() const {
  const Milliseconds jitter(
      static_cast<std::int64_t>(Hash64(m_settings.node) % kMaxClaimJitterMilliseconds));
  if (m_largest_share == 0) {
    const double delay =
        static_cast<double>(kNoHolderClaimDelay.count()) / m_settings.processor_share;
    return jitter + std::min(kWeakerClaimDelay, Milliseconds(static_cast<std::int64_t>(delay)));
  }
  const bool is_weaker = m_settings.processor_share < m_largest_share * kWeakerShareRatio;
  return is_weaker ? jitter + kWeakerClaimDelay : jitter;
}

void LeaderElection::EndPreviousTerm(StoreLease lease) {
  LogEvent(LogLevel::kInfo, "election", "ending the term of this node's previous process").Write();
  const std::uint64_t generation = m_generation;
  m_store.RevokeLease(lease, [this, generation](const LeaseAnswer& answer) {
    if (generation != m_generation) {
      return;
    }
    if (answer.result == LeaseResult::kFailed) {
      ReadTermLater();
    } else {
      ScheduleClaim();
    }
  });
}

void LeaderElection::ReadTermLater() {
  const std::uint64_t generation = m_generation;
  m_timers.After(kRetryDelay, [this, generation] {
    if (generation == m_generation) {
      ReadTerm();
    }
  });
}

void LeaderElection::WatchTerm(Revision after) {
  const std::uint64_t generation = m_generation;
  m_store.Watch(kTermKey, after, m_settings.watch_wait,
                [this, generation, after](const WatchAnswer& answer) {
                  if (generation != m_generation) {
                    return;
                  }
                  if (answer.result != WatchResult::kOk) {
                    ReadTerm();
                    return;
                  }
                  RecordContact(Now());
                  if (answer.changes.empty()) {
                    WatchTerm(std::max(after, answer.revision));
                  } else {
                    OnTermChanged(answer);
                  }
                });
}

void LeaderElection::OnTermChanged(const WatchAnswer& answer) {
  for (const WatchedChange& change : answer.changes) {
    if (change.item.key != kTermKey) {
      ApplyLeaseRecord(change.item);
    } else if (change.kind == WriteKind::kDelete) {
      RecordFreeTerm();
    } else {
      UpdateHolder(change.item);
    }
  }
  if (m_free_since.has_value()) {
    ScheduleClaim();
  } else {
    WatchTerm(answer.revision);
  }
}

void LeaderElection::RecordFreeTerm() {
  m_holder.reset();
  m_free_since = m_free_since.value_or(Now());
}

void LeaderElection::ScheduleClaim() {
  if (m_resigned) {
    return;
  }
  const std::uint64_t generation = m_generation;
  m_timers.After(ClaimDelay(), [this, generation] {
    if (generation != m_generation) {
      return;
    }
    m_store.GrantLease(m_settings.time_to_live, [this, generation](const LeaseAnswer& answer) {
      if (generation != m_generation) {
        return;
      }
      if (answer.result != LeaseResult::kOk) {
        ReadTermLater();
        return;
      }
      ClaimTerm(answer.lease);
    });
  });
}

void LeaderElection::ClaimTerm(StoreLease lease) {
  const TermRecord record{m_settings.node, lease, ++m_claim_count, m_settings.processor_share};
  Transaction claim;
  claim.Expect(kTermKey, Revision(0)).PutUnderLease(kTermKey, EncodeTermRecord(record), lease);
  const std::uint64_t generation = m_generation;
  const Milliseconds sent_at = Now();
  m_store.Commit(claim, [this, generation, record, sent_at](const CommitAnswer& answer) {
    if (generation == m_generation) {
      OnClaimed(record, sent_at, answer);
    }
  });
}

void LeaderElection::OnClaimed(const TermRecord& record, Milliseconds sent_at,
                               const CommitAnswer& answer) {
  if (answer.result == TransactionResult::kApplied) {
    BecomeLeader(answer.revision, record.lease, sent_at);
    return;
  }
  if (answer.result == TransactionResult::kUnclear) {
    ReadClaim(record, sent_at);
    return;
  }
  m_store.RevokeLease(record.lease, [](const LeaseAnswer&) {});
  ReadTermLater();
}

void LeaderElection::ReadClaim(const TermRecord& record, Milliseconds sent_at) {
  const std::uint64_t generation = m_generation;
  m_store.Read(kTermKey, [this, generation, record, sent_at](const ReadAnswer& answer) {
    if (generation != m_generation) {
      return;
    }
    if (answer.result == ReadResult::kOk && !answer.items.empty() &&
        answer.items.front().value == EncodeTermRecord(record)) {
      BecomeLeader(answer.items.front().revision, record.lease, sent_at);
      return;
    }
    // The claim may still be applied later; revoking its lease prevents that.
    m_store.RevokeLease(record.lease, [](const LeaseAnswer&) {});
    ReadTermLater();
  });
}

void LeaderElection::BecomeLeader(Revision revision, StoreLease lease, Milliseconds sent_at) {
  ++m_generation;
  m_is_leader = true;
  m_holder.reset();
  m_lease = lease;
  m_elected_at = Now();
  m_history.RecordTerm(FencingToken(revision.value()), Now());
  m_confirmed_at = sent_at;
  m_renewal_sent_at.reset();
  m_longest_renewal_delay = Milliseconds(0);
  RecordContact(sent_at);
  LogEvent(LogLevel::kInfo, "election", "elected")
      .Field("token", revision.value())
      .Field("former_holder", m_last_holder)
      .Field("free_ms", (Now() - m_free_since.value_or(Now())).count())
      .Field("claim_ms", (Now() - sent_at).count())
      .Field("cpu_milli", CpuMilli(m_settings.processor_share))
      .Write();
  m_free_since.reset();
  m_last_holder = m_settings.node;
  RenewTermAfter(m_settings.renewal_interval);
  m_callbacks.on_elected(Term{FencingToken(revision.value()), revision});
}

void LeaderElection::RenewTermAfter(Milliseconds delay) {
  // NOTE: urgent, since a leader that is behind with its work must lead slowly, not lose its term.
  m_timers.AfterUrgently(delay, [this, generation = m_generation, due = Now() + delay] {
    if (generation == m_generation) {
      m_longest_renewal_delay = std::max(m_longest_renewal_delay, Now() - due);
      RenewTermAfter(m_settings.renewal_interval);
      RenewTerm();
    }
  });
}

void LeaderElection::RenewTerm() {
  const std::uint64_t generation = m_generation;
  const Milliseconds sent_at = Now();
  m_renewal_sent_at = m_renewal_sent_at.value_or(sent_at);
  m_store.RenewLease(m_lease, [this, generation, sent_at](const LeaseAnswer& answer) {
    if (generation == m_generation) {
      OnRenewed(sent_at, answer);
    }
  });
}

void LeaderElection::OnRenewed(Milliseconds sent_at, const LeaseAnswer& answer) {
  if (answer.result == LeaseResult::kExpired) {
    StepDown("the term's lease has ended");
    return;
  }
  m_renewal_sent_at.reset();
  if (answer.result == LeaseResult::kOk) {
    RecordConfirmation(sent_at);
    return;
  }
  // The call may have been lost alone: later renewals are on their way or were answered.
  if (!m_contact_lost && sent_at >= m_confirmed_at) {
    m_contact_lost = true;
    LogEvent(LogLevel::kWarning, "election", "store lost while leading")
        .Reason(answer.error)
        .Field("term_age_ms", (Now() - m_confirmed_at).count())
        .Write();
  }
}

void LeaderElection::LogTermLost(const std::string& reason) const {
  const Milliseconds unanswered =
      m_renewal_sent_at.has_value() ? Now() - *m_renewal_sent_at : Milliseconds(0);
  LogEvent(LogLevel::kWarning, "election", "term lost")
      .Field("led_ms", (Now() - m_elected_at).count())
      .Field("confirmed_age_ms", (Now() - m_confirmed_at).count())
      .Field("unanswered_renewal_ms", unanswered.count())
      .Field("longest_renewal_delay_ms", m_longest_renewal_delay.count())
      .Field("contact_age_ms", contact_age().count())
      .Reason(reason)
      .Write();
}

void LeaderElection::StepDown(const std::string& reason) {
  if (!m_is_leader) {
    return;
  }
  m_is_leader = false;
  ++m_generation;
  LogTermLost(reason);
  m_callbacks.on_lost(reason);
  ReadTermLater();
}

void LeaderElection::Resign() {
  m_resigned = true;
  ++m_generation;
  if (!m_is_leader) {
    return;
  }
  m_is_leader = false;
  LogEvent(LogLevel::kInfo, "election", "term released").Write();
  m_callbacks.on_lost("resigned");
  m_store.RevokeLease(m_lease, [](const LeaseAnswer& answer) {
    if (answer.result == LeaseResult::kFailed) {
      LogEvent(LogLevel::kWarning, "election",
               "the term could not be released; its lease expires later")
          .Reason(answer.error)
          .Write();
    }
  });
}

}  // namespace papayalift
