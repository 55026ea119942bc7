#include "libraries/peers/peer_table.h"

#include <criterion/criterion.h>

#include "libraries/base/manual_clock.h"

namespace papayalift {

namespace {

struct PeerTableFixture {
  PeerTableFixture() {
    clock.Advance(Milliseconds(1'000));
    heartbeat.node = NodeId("b");
    heartbeat.incarnation = "b1";
    heartbeat.sent_at = Milliseconds(10);
  }

  ManualClock clock;
  PeerTable table{clock, "a1"};
  Heartbeat heartbeat;
};

}  // namespace

Test(peer_table, record_late_heartbeat_is_ignored) {
  PeerTableFixture fixture;
  fixture.table.Record(fixture.heartbeat);
  fixture.heartbeat.sent_at = Milliseconds(9);
  fixture.heartbeat.phase = NodePhase::kLeaving;
  fixture.table.Record(fixture.heartbeat);
  cr_assert(fixture.table.Find(NodeId("b"), "b1")->heartbeat.phase == NodePhase::kJoining);
}

Test(peer_table, record_echo_of_this_process_dates_the_heartbeat) {
  PeerTableFixture fixture;
  fixture.heartbeat.echo = Milliseconds(900);
  fixture.heartbeat.echo_incarnation = "a1";
  fixture.table.Record(fixture.heartbeat);
  cr_assert(fixture.table.Find(NodeId("b"), "b1")->written_after == Milliseconds(900));
}

Test(peer_table, record_echo_of_an_earlier_process_dates_nothing) {
  PeerTableFixture fixture;
  fixture.heartbeat.echo = Milliseconds(900);
  fixture.heartbeat.echo_incarnation = "a0";
  fixture.table.Record(fixture.heartbeat);
  cr_assert_not(fixture.table.Find(NodeId("b"), "b1")->written_after.has_value());
}

Test(peer_table, find_other_incarnation_of_a_peer_finds_nothing) {
  PeerTableFixture fixture;
  fixture.table.Record(fixture.heartbeat);
  cr_assert_not(fixture.table.Find(NodeId("b"), "b2").has_value());
}

Test(peer_table, record_many_processes_keeps_a_bounded_number) {
  PeerTableFixture fixture;
  for (int index = 0; index < 1'000; ++index) {
    fixture.heartbeat.incarnation = std::to_string(index);
    fixture.table.Record(fixture.heartbeat);
  }
  cr_assert(fixture.table.Find(NodeId("b"), "0").has_value());
  cr_assert_not(fixture.table.Find(NodeId("b"), "999").has_value());
}

}  // namespace papayalift
