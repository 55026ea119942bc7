#include "libraries/node/renewal_rule.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>

#include "libraries/base/manual_clock.h"
#include "libraries/node/store_progress.h"

namespace papayalift {

namespace {

constexpr Milliseconds kRunLease{15'000};
constexpr Milliseconds kStep{250};
const AttemptId kGang("gang-1");

/// A number below `end` regardless of the size of the test case, by which rapidcheck scales ranges.
int RandomBelow(int end) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end)); }

/// Models an owner that renews one gang, a peer that may stop it, a store that each may lose, and a
/// link between the two that delays and drops. The owner always reaches the worker and the peer
/// never does, so that a stop has to wait for the run lease to lapse.
class TwoNodeModel {
 public:
  void Step() {
    m_clock.Advance(kStep);
    InjectFaults();
    ProbeStore();
    Stop();
    ExchangeHeartbeats();
    Renew();
    Check();
  }

 private:
  void InjectFaults() {
    if (RandomBelow(40) == 0) {
      m_owner_reaches = RandomBelow(2) == 0;
    }
    if (RandomBelow(3) == 0) {
      m_peer_reaches = RandomBelow(2) == 0;
    }
  }

  void ProbeStore() {
    if (m_owner_reaches) {
      m_progress.RecordAnswer(m_clock.Now(), Revision(m_store_revision));
      m_owner_followed = m_store_revision;
    }
  }

  /// The peer marks a stop while it reaches the store, and waits one run lease from then.
  void Stop() {
    if (m_peer_reaches && !m_stopped_at && m_clock.Now() >= m_earliest_stop) {
      m_stopped_at = m_clock.Now();
      m_store_revision = 2;
    }
  }

  void ExchangeHeartbeats() {
    if (RandomBelow(5) > 0) {
      m_to_peer.push_back(m_clock.Now());
    }
    if (!m_to_peer.empty() && RandomBelow(3) > 0) {
      m_echo = m_to_peer.front();
      m_to_peer.pop_front();
    }
    Heartbeat heartbeat;
    heartbeat.node = NodeId("peer");
    heartbeat.incarnation = "p1";
    heartbeat.sent_at = m_clock.Now();
    heartbeat.echo = m_echo;
    heartbeat.echo_incarnation = "o1";
    heartbeat.store = m_peer_reaches ? StoreContact::kReachable : StoreContact::kUnreachable;
    // As in Membership, only a node that can't reach the store lists the attempts it is stopping.
    if (m_stopped_at && !m_peer_reaches) {
      heartbeat.stopping = {kGang};
    }
    m_to_owner.push_back(heartbeat);
    if (RandomBelow(3) > 0) {
      m_table.Record(m_to_owner.front());
      m_to_owner.pop_front();
    }
  }

  void Renew() {
    const std::optional<Milliseconds> confirmed =
        m_progress.ConfirmedAt(Revision(m_owner_followed));
    const std::optional<RenewalBasis> basis =
        RenewalBasisOf(m_clock.Now(), confirmed, {m_table.Find(NodeId("peer"), "p1")});
    const bool stop_seen = m_owner_followed == 2;
    if (basis && !stop_seen && !basis->stopping.contains(kGang)) {
      m_lease_ends = std::max(m_lease_ends, basis->lease_start + kRunLease);
      ++m_renewals;
    }
  }

  /// Once the peer has waited one run lease, the worker's lease must have lapsed.
  void Check() const {
    if (m_stopped_at && m_clock.Now() >= *m_stopped_at + kRunLease) {
      RC_ASSERT(m_lease_ends <= m_clock.Now());
    }
  }

  ManualClock m_clock;
  StoreProgress m_progress{m_clock};
  PeerTable m_table{m_clock, "o1"};
  /// Random, so that the owner is often cut off by then.
  const Milliseconds m_earliest_stop = kStep * RandomBelow(80);
  bool m_owner_reaches = RandomBelow(2) == 0;
  bool m_peer_reaches = true;
  std::int64_t m_store_revision = 1;
  std::int64_t m_owner_followed = 1;
  std::optional<Milliseconds> m_stopped_at;
  std::deque<Milliseconds> m_to_peer;
  std::deque<Heartbeat> m_to_owner;
  Milliseconds m_echo{0};
  Milliseconds m_lease_ends{0};
  int m_renewals = 0;
};

PeerState MakePeerState(StoreContact store, Milliseconds written_after) {
  PeerState state;
  state.heartbeat.store = store;
  state.written_after = written_after;
  return state;
}

}  // namespace

Test(renewal_rule, renew_under_cuts_and_delays_never_outlives_the_wait_of_a_stop) {
  cr_assert(rc::check([] {
    TwoNodeModel model;
    constexpr int kSteps = 160;
    for (int step = 0; step < kSteps; ++step) {
      model.Step();
    }
  }));
}

Test(renewal_rule, renew_through_an_outage_for_everyone_goes_on) {
  const Milliseconds hour{3'600'000};
  const std::optional<RenewalBasis> basis =
      RenewalBasisOf(hour, Milliseconds(0),
                     {MakePeerState(StoreContact::kUnreachable, hour - Milliseconds(1'000)),
                      MakePeerState(StoreContact::kUnreachable, hour - Milliseconds(500))});
  cr_assert(basis.has_value());
  cr_assert(basis->lease_start == hour - Milliseconds(1'000));
}

Test(renewal_rule, renew_cut_off_while_one_peer_reaches_the_store_ends) {
  const Milliseconds now{60'000};
  cr_assert_not(
      RenewalBasisOf(now, Milliseconds(0), {MakePeerState(StoreContact::kReachable, now)}));
}

Test(renewal_rule, renew_cut_off_with_one_peer_silent_ends) {
  const Milliseconds now{60'000};
  cr_assert_not(RenewalBasisOf(now, Milliseconds(0),
                               {MakePeerState(StoreContact::kUnreachable, now), std::nullopt}));
  cr_assert_not(
      RenewalBasisOf(now, Milliseconds(0),
                     {MakePeerState(StoreContact::kUnreachable, now - Milliseconds(1'501))}));
}

}  // namespace papayalift
