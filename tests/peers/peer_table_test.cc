#include "libraries/peers/peer_table.h"

#include <criterion/criterion.h>

#include "libraries/base/manual_clock.h"

namespace papayalift {

namespace {

struct TableFixture {
  TableFixture() {
    clock.Advance(Milliseconds(1'000));
    beat.node = NodeId("b");
    beat.incarnation = "b1";
    beat.sent_at = Milliseconds(10);
  }

  ManualClock clock;
  PeerTable table{clock, "a1"};
  Heartbeat beat;
};

}  // namespace

Test(peer_table, heard_late_heartbeat_is_passed_over) {
  TableFixture fixture;
  fixture.table.Heard(fixture.beat);
  fixture.beat.sent_at = Milliseconds(9);
  fixture.beat.phase = NodePhase::kLeaving;
  fixture.table.Heard(fixture.beat);
  cr_assert(fixture.table.Find(NodeId("b"), "b1")->heartbeat.phase == NodePhase::kJoining);
}

Test(peer_table, heard_echo_of_this_process_dates_the_heartbeat) {
  TableFixture fixture;
  fixture.beat.echo = Milliseconds(900);
  fixture.beat.echo_incarnation = "a1";
  fixture.table.Heard(fixture.beat);
  cr_assert(fixture.table.Find(NodeId("b"), "b1")->written_after == Milliseconds(900));
}

Test(peer_table, heard_echo_of_an_earlier_process_dates_nothing) {
  TableFixture fixture;
  fixture.beat.echo = Milliseconds(900);
  fixture.beat.echo_incarnation = "a0";
  fixture.table.Heard(fixture.beat);
  cr_assert_not(fixture.table.Find(NodeId("b"), "b1")->written_after.has_value());
}

Test(peer_table, find_other_incarnation_of_a_peer_finds_nothing) {
  TableFixture fixture;
  fixture.table.Heard(fixture.beat);
  cr_assert_not(fixture.table.Find(NodeId("b"), "b2").has_value());
}

Test(peer_table, heard_many_processes_keeps_a_bounded_number) {
  TableFixture fixture;
  for (int index = 0; index < 1'000; ++index) {
    fixture.beat.incarnation = std::to_string(index);
    fixture.table.Heard(fixture.beat);
  }
  cr_assert(fixture.table.Find(NodeId("b"), "0").has_value());
  cr_assert_not(fixture.table.Find(NodeId("b"), "999").has_value());
}

}  // namespace papayalift
