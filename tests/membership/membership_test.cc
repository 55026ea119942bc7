#include "libraries/node/membership.h"

#include <criterion/criterion.h>

#include "libraries/base/manual_clock.h"
#include "libraries/model/keys.h"
#include "libraries/model/node_codec.h"

namespace papayalift {

namespace {

/// Node "a" with its copy of the registry; the test sends the heartbeats of its peers.
class MembershipFixture {
 public:
  MembershipFixture() {
    Register("a", "a1");
    Register("b", "b1");
    Register("c", "c1");
    ReceiveHeartbeat("b", "b1");
    ReceiveHeartbeat("c", "c1");
    m_progress.RecordAnswer(m_clock.Now(), Revision(1));
    cr_assert(m_membership.established());
  }

  void Register(const std::string& name, const std::string& incarnation) {
    NodeRecord node;
    node.id = NodeId(name);
    node.incarnation = incarnation;
    node.peer_address = "127.0.0.1:1";
    m_revision = m_revision.Next();
    WatchEvent event;
    event.kind = ChangeKind::kPut;
    event.record = KeyValue{keys::NodeKey(node.id), EncodeNode(node), m_revision};
    m_state.Apply(WatchBatch{{event}, m_revision});
  }

  void ReceiveHeartbeat(const std::string& name, const std::string& incarnation) {
    m_heartbeat.node = NodeId(name);
    m_heartbeat.incarnation = incarnation;
    m_heartbeat.sent_at += Milliseconds(1);
    m_heartbeat.seen = m_revision;
    m_membership.OnHeartbeat(m_heartbeat);
  }

  /// Advances the clock with heartbeats in between, as in a process that is not frozen.
  void AdvanceTime(Milliseconds time) {
    constexpr Milliseconds kHeartbeatInterval{500};
    for (Milliseconds passed{0}; passed < time; passed += kHeartbeatInterval) {
      m_clock.Advance(kHeartbeatInterval);
      static_cast<void>(m_membership.Peers());
    }
  }

  std::string LiveNodes() const {
    std::string text;
    for (const NodeId& node : m_membership.LiveNodes(*m_state.View())) {
      text += node.text();
    }
    return text;
  }

  ManualClock m_clock;
  FleetState m_state;
  StoreProgress m_progress{m_clock};
  Membership m_membership{m_clock, NodeIdentity{NodeId("a"), "a1"}, m_state, m_progress};
  Heartbeat m_heartbeat = [] {
    Heartbeat heartbeat;
    heartbeat.phase = NodePhase::kServing;
    heartbeat.store = StoreContact::kReachable;
    return heartbeat;
  }();
  Revision m_revision{1};
};

}  // namespace

Test(membership, live_nodes_peer_silent_is_excluded_within_the_run_lease) {
  MembershipFixture fixture;
  cr_assert_eq(fixture.LiveNodes(), "abc");
  for (int heartbeat = 0; heartbeat < 8; ++heartbeat) {
    fixture.AdvanceTime(Milliseconds(500));
    fixture.ReceiveHeartbeat("b", "b1");
  }
  cr_assert_eq(fixture.LiveNodes(), "ab");
}

Test(membership, live_nodes_peer_leaving_is_excluded_at_once) {
  MembershipFixture fixture;
  fixture.m_heartbeat.phase = NodePhase::kLeaving;
  fixture.ReceiveHeartbeat("b", "b1");
  cr_assert_eq(fixture.LiveNodes(), "ac");
}

Test(membership, live_nodes_own_node_leaving_is_excluded) {
  MembershipFixture fixture;
  fixture.m_membership.Leave();
  cr_assert_eq(fixture.LiveNodes(), "bc");
  cr_assert(fixture.m_membership.ComposeHeartbeat(NodeId("b")).phase == NodePhase::kLeaving);
}

Test(membership, live_nodes_restarted_peer_counts_once_registered_and_heard) {
  MembershipFixture fixture;
  fixture.AdvanceTime(Milliseconds(4'000));
  fixture.ReceiveHeartbeat("c", "c1");
  fixture.ReceiveHeartbeat("b", "b2");
  cr_assert_eq(fixture.LiveNodes(), "ac", "heard but not registered");
  fixture.Register("b", "b2");
  cr_assert_eq(fixture.LiveNodes(), "abc");
  fixture.Register("b", "b3");
  cr_assert_eq(fixture.LiveNodes(), "ac", "registered but not heard");
}

Test(membership, live_nodes_after_own_freeze_gives_peers_time_to_be_heard) {
  MembershipFixture fixture;
  fixture.m_clock.Advance(Milliseconds(20'000));
  static_cast<void>(fixture.m_membership.Peers());
  cr_assert_eq(fixture.LiveNodes(), "abc");
  fixture.AdvanceTime(Milliseconds(4'000));
  cr_assert_eq(fixture.LiveNodes(), "a");
}

Test(membership, live_nodes_node_cut_off_from_the_store_counts_only_when_all_are) {
  MembershipFixture fixture;
  fixture.m_heartbeat.store = StoreContact::kUnreachable;
  fixture.m_heartbeat.store_silence = Milliseconds(5'000);
  fixture.ReceiveHeartbeat("b", "b1");
  cr_assert_eq(fixture.LiveNodes(), "ac");
  fixture.ReceiveHeartbeat("c", "c1");
  cr_assert_eq(fixture.LiveNodes(), "a");
  fixture.m_progress.RecordFailure();
  fixture.m_clock.Advance(Milliseconds(2'500));
  fixture.ReceiveHeartbeat("b", "b1");
  fixture.ReceiveHeartbeat("c", "c1");
  cr_assert_eq(fixture.LiveNodes(), "abc");
}

Test(membership, established_only_once_every_registered_node_knows_this_one) {
  MembershipFixture fixture;
  FleetState state;
  Membership fresh(fixture.m_clock, NodeIdentity{NodeId("d"), "d1"}, fixture.m_state,
                   fixture.m_progress);
  cr_assert_not(fresh.established(), "not registered");
  const Revision before = fixture.m_revision;
  fixture.Register("d", "d1");
  Heartbeat heartbeat = fixture.m_heartbeat;
  const auto receive = [&fresh, &heartbeat](const std::string& name, Revision seen) {
    heartbeat.node = NodeId(name);
    heartbeat.incarnation = name + "1";
    heartbeat.sent_at += Milliseconds(1);
    heartbeat.seen = seen;
    fresh.OnHeartbeat(heartbeat);
  };
  receive("a", fixture.m_revision);
  receive("b", fixture.m_revision);
  receive("c", before);
  cr_assert_not(fresh.established(), "one has not seen the registration");
  receive("c", fixture.m_revision);
  cr_assert(fresh.established());
}

Test(membership, nodes_silent_for_counts_from_the_last_heartbeat_of_the_registered_process) {
  MembershipFixture fixture;
  static_cast<void>(fixture.m_membership.Peers());
  fixture.AdvanceTime(Milliseconds(30'000));
  fixture.ReceiveHeartbeat("b", "b1");
  fixture.ReceiveHeartbeat("c", "c0");
  fixture.AdvanceTime(Milliseconds(31'000));
  const std::vector<SilentNode> silent =
      fixture.m_membership.NodesSilentFor(*fixture.m_state.View(), Milliseconds(60'000));
  cr_assert_eq(silent.size(), 1);
  cr_assert_eq(silent.front().incarnation, "c1");
}

}  // namespace papayalift
