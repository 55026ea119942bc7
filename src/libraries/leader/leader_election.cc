#include "libraries/leader/leader_election.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <utility>

#include "libraries/base/hash.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

constexpr Milliseconds kRetryPause{250};
/// Nodes that see a free term claim it at slightly different times.
constexpr std::uint64_t kLongestClaimDelayMilliseconds = 40;

}  // namespace

LeaderElection::LeaderElection(Timers& timers, StorePort& store, ElectionSettings settings,
                               ElectionCallbacks callbacks)
    : m_timers(timers),
      m_store(store),
      m_settings(std::move(settings)),
      m_callbacks(std::move(callbacks)),
      m_contact_at(timers.clock().Now()) {}

void LeaderElection::Start() { Follow(); }

void LeaderElection::NoteContact(Milliseconds at) {
  m_contact_at = std::max(m_contact_at, at);
  if (m_contact_lost) {
    m_contact_lost = false;
    LogEvent(LogLevel::kInfo, "election", "store reached again").Write();
  }
}

void LeaderElection::NoteConfirmed(Milliseconds sent_at) {
  m_confirmed_at = std::max(m_confirmed_at, sent_at);
  NoteContact(sent_at);
}

void LeaderElection::Follow() {
  if (m_resigned) {
    return;
  }
  const std::uint64_t round = ++m_round;
  const Milliseconds sent_at = Now();
  m_store.Read(kTermKey, [this, round, sent_at](const ReadAnswer& answer) {
    if (round != m_round) {
      return;
    }
    if (answer.result != ReadResult::kOk) {
      if (!m_contact_lost) {
        m_contact_lost = true;
        LogEvent(LogLevel::kWarning, "election", "store lost").Reason(answer.error).Write();
      }
      FollowLater();
      return;
    }
    NoteContact(sent_at);
    if (answer.items.empty()) {
      Contend();
    } else if (const std::optional<StoreLease> own = OwnFormerLease(answer.items.front())) {
      EndFormerTerm(*own);
    } else {
      WatchTerm(answer.items.front().revision);
    }
  });
}

/// The lease of a term that an earlier process of this node held: this one runs in its place, so
/// the earlier one has ended.
std::optional<StoreLease> LeaderElection::OwnFormerLease(const StoreItem& term) const {
  std::istringstream words(term.value);
  std::string node;
  std::int64_t lease = 0;
  words >> node >> lease;
  if (!words || node != m_settings.node || m_claims > 0) {
    return std::nullopt;
  }
  return StoreLease(lease);
}

void LeaderElection::EndFormerTerm(StoreLease lease) {
  LogEvent(LogLevel::kInfo, "election", "ending the term of this node's former process").Write();
  const std::uint64_t round = m_round;
  m_store.EndLease(lease, [this, round](const LeaseAnswer& answer) {
    if (round != m_round) {
      return;
    }
    if (answer.result == LeaseResult::kFailed) {
      FollowLater();
    } else {
      Contend();
    }
  });
}

void LeaderElection::FollowLater() {
  const std::uint64_t round = m_round;
  m_timers.After(kRetryPause, [this, round] {
    if (round == m_round) {
      Follow();
    }
  });
}

void LeaderElection::WatchTerm(Revision after) {
  const std::uint64_t round = m_round;
  m_store.Watch(kTermKey, after, m_settings.watch_wait,
                [this, round, after](const WatchAnswer& answer) {
                  if (round != m_round) {
                    return;
                  }
                  if (answer.result != WatchResult::kOk) {
                    Follow();
                    return;
                  }
                  NoteContact(Now());
                  if (answer.changes.empty()) {
                    WatchTerm(std::max(after, answer.at));
                  } else if (answer.changes.back().kind == WriteKind::kDelete) {
                    Contend();
                  } else {
                    WatchTerm(answer.at);
                  }
                });
}

void LeaderElection::Contend() {
  if (m_resigned) {
    return;
  }
  const std::uint64_t round = m_round;
  const Milliseconds delay(
      static_cast<std::int64_t>(Hash64(m_settings.node) % kLongestClaimDelayMilliseconds));
  m_timers.After(delay, [this, round] {
    if (round != m_round) {
      return;
    }
    m_store.GrantLease(m_settings.time_to_live, [this, round](const LeaseAnswer& answer) {
      if (round != m_round) {
        return;
      }
      if (answer.result != LeaseResult::kOk) {
        FollowLater();
        return;
      }
      Claim(answer.lease);
    });
  });
}

void LeaderElection::Claim(StoreLease lease) {
  const std::string value = fmt::format("{} {} {}", m_settings.node, lease.value(), ++m_claims);
  Transaction claim;
  claim.Expect(kTermKey, Revision(0)).PutUnderLease(kTermKey, value, lease);
  const std::uint64_t round = m_round;
  const Milliseconds sent_at = Now();
  m_store.Commit(claim, [this, round, value, lease, sent_at](const CommitAnswer& answer) {
    if (round == m_round) {
      OnClaimed(value, lease, sent_at, answer);
    }
  });
}

void LeaderElection::OnClaimed(const std::string& value, StoreLease lease, Milliseconds sent_at,
                               const CommitAnswer& answer) {
  if (answer.result == TransactionResult::kApplied) {
    Win(answer.revision, lease, sent_at);
    return;
  }
  if (answer.result == TransactionResult::kUnclear) {
    ReadClaim(value, lease, sent_at);
    return;
  }
  m_store.EndLease(lease, [](const LeaseAnswer&) {});
  FollowLater();
}

void LeaderElection::ReadClaim(const std::string& value, StoreLease lease, Milliseconds sent_at) {
  const std::uint64_t round = m_round;
  m_store.Read(kTermKey, [this, round, value, lease, sent_at](const ReadAnswer& answer) {
    if (round != m_round) {
      return;
    }
    if (answer.result == ReadResult::kOk && !answer.items.empty() &&
        answer.items.front().value == value) {
      Win(answer.items.front().revision, lease, sent_at);
      return;
    }
    // The claim may still apply later; ending its lease makes that impossible.
    m_store.EndLease(lease, [](const LeaseAnswer&) {});
    FollowLater();
  });
}

void LeaderElection::Win(Revision revision, StoreLease lease, Milliseconds sent_at) {
  ++m_round;
  m_is_leader = true;
  m_lease = lease;
  m_confirmed_at = sent_at;
  NoteContact(sent_at);
  LogEvent(LogLevel::kInfo, "election", "elected").Field("token", revision.value()).Write();
  m_timers.After(m_settings.renewal_interval, [this, round = m_round] {
    if (round == m_round) {
      Renew();
    }
  });
  m_callbacks.on_elected(Term{FencingToken(revision.value()), revision});
}

void LeaderElection::Renew() {
  const std::uint64_t round = m_round;
  const Milliseconds sent_at = Now();
  m_store.KeepLease(m_lease, [this, round, sent_at](const LeaseAnswer& answer) {
    if (round == m_round) {
      OnRenewed(sent_at, answer);
    }
  });
}

void LeaderElection::OnRenewed(Milliseconds sent_at, const LeaseAnswer& answer) {
  if (answer.result == LeaseResult::kEnded) {
    StepDown("the term's lease has ended");
    return;
  }
  Milliseconds pause = m_settings.renewal_interval;
  if (answer.result == LeaseResult::kOk) {
    NoteConfirmed(sent_at);
  } else {
    pause = kRetryPause;
    if (!m_contact_lost) {
      m_contact_lost = true;
      LogEvent(LogLevel::kWarning, "election", "store lost while leading")
          .Reason(answer.error)
          .Field("term_age_ms", (Now() - m_confirmed_at).count())
          .Write();
    }
  }
  m_timers.After(pause, [this, round = m_round] {
    if (round == m_round) {
      Renew();
    }
  });
}

void LeaderElection::StepDown(const std::string& reason) {
  if (!m_is_leader) {
    return;
  }
  m_is_leader = false;
  ++m_round;
  LogEvent(LogLevel::kWarning, "election", "term lost").Reason(reason).Write();
  m_callbacks.on_lost(reason);
  FollowLater();
}

void LeaderElection::Resign() {
  m_resigned = true;
  ++m_round;
  if (!m_is_leader) {
    return;
  }
  m_is_leader = false;
  LogEvent(LogLevel::kInfo, "election", "term given back").Write();
  m_callbacks.on_lost("resigned");
  m_store.EndLease(m_lease, [](const LeaseAnswer& answer) {
    if (answer.result == LeaseResult::kFailed) {
      LogEvent(LogLevel::kWarning, "election", "the term could not be given back, it lapses")
          .Reason(answer.error)
          .Write();
    }
  });
}

}  // namespace papayalift
