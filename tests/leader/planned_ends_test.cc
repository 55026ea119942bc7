#include "libraries/leader/planned_ends.h"

#include <criterion/criterion.h>

namespace papayalift {

namespace {

const MinionId kMinion("m1");
constexpr MinionIncarnation kProcess(7);

MinionEntry EntryOf(MinionState state, std::int64_t heartbeat) {
  MinionEntry entry;
  entry.id = kMinion;
  entry.incarnation = kProcess;
  entry.state = state;
  entry.heartbeat = HeartbeatNumber(heartbeat);
  return entry;
}

struct PlannedEndsFixture {
  PlannedEnds ends;

  PlannedEnds::Change Observe(MinionState state, std::int64_t heartbeat) {
    return ends.Observe(EntryOf(state, heartbeat), Milliseconds(0));
  }
  bool IsAnnounced() const { return ends.IsAnnounced(kMinion, kProcess); }
  void DropOld(Milliseconds now, bool is_needed) {
    ends.DropOld(now, [is_needed](const MinionId&, MinionIncarnation) { return is_needed; });
  }
};

}  // namespace

Test(planned_ends, announcement_belongs_to_its_process_alone) {
  PlannedEndsFixture fixture;
  cr_assert(fixture.Observe(MinionState::kReady, 1) == PlannedEnds::Change::kNone);
  cr_assert_not(fixture.IsAnnounced());
  cr_assert(fixture.Observe(MinionState::kDraining, 2) == PlannedEnds::Change::kAnnounced);
  cr_assert(fixture.IsAnnounced());
  cr_assert_not(fixture.ends.IsAnnounced(kMinion, kProcess.Next()));
  cr_assert_not(fixture.ends.IsAnnounced(MinionId("m2"), kProcess));
}

Test(planned_ends, ready_entry_withdraws_only_if_it_was_written_after_the_announcement) {
  PlannedEndsFixture fixture;
  fixture.Observe(MinionState::kDraining, 5);
  cr_assert(fixture.Observe(MinionState::kReady, 4) == PlannedEnds::Change::kNone);
  cr_assert(fixture.Observe(MinionState::kReady, 5) == PlannedEnds::Change::kNone);
  cr_assert(fixture.IsAnnounced());
  cr_assert(fixture.Observe(MinionState::kReady, 6) == PlannedEnds::Change::kWithdrawn);
  cr_assert_not(fixture.IsAnnounced());
}

Test(planned_ends, stored_announcement_keeps_its_heartbeat) {
  PlannedEndsFixture fixture;
  fixture.ends.Restore(kMinion, kProcess, HeartbeatNumber(5), Milliseconds(0));
  cr_assert(fixture.ends.AnnouncementOf(kMinion, kProcess) == HeartbeatNumber(5));
  cr_assert(fixture.Observe(MinionState::kReady, 4) == PlannedEnds::Change::kNone);
  cr_assert(fixture.IsAnnounced());
}

Test(planned_ends, old_announcements_are_dropped_unless_they_are_needed) {
  PlannedEndsFixture fixture;
  fixture.Observe(MinionState::kDraining, 1);
  fixture.DropOld(Milliseconds(60'000), false);
  cr_assert_eq(fixture.ends.size(), 1);
  fixture.DropOld(Milliseconds(60'001), true);
  cr_assert_eq(fixture.ends.size(), 1);
  fixture.DropOld(Milliseconds(60'001), false);
  cr_assert_eq(fixture.ends.size(), 0);
}

}  // namespace papayalift
