#include "libraries/node/retention.h"

#include <criterion/criterion.h>

#include "libraries/model/keys.h"
#include "node/test_fleet.h"

namespace papayalift {

namespace {

/// One job that has ended, and one that is queued while both zones are out.
struct EndedJobFixture {
  EndedJobFixture() {
    ended = fleet.Submit(SpecOf("ended", 1, 1));
    fleet.Run(Milliseconds(5'000));
    fleet.ChangeZone("a", ZoneState::kOut);
    fleet.ChangeZone("b", ZoneState::kOut);
    waiting = fleet.Submit(SpecOf("waiting", 1, 1));
    fleet.Run(Milliseconds(1'000));
  }

  bool IsKept(const JobId& job) {
    const RangeAnswer answer = fleet.store().Range(SingleKey(keys::JobKey(job))).value();
    return !answer.records.empty();
  }
  std::size_t AuditEntries() {
    return fleet.store().Range(KeysWithPrefix(keys::kAudit)).value().records.size();
  }

  TestFleet fleet{2};
  JobId ended;
  JobId waiting;
};

}  // namespace

Test(retention, job_ended_within_the_time_is_kept) {
  EndedJobFixture fixture;
  fixture.fleet.clock().Advance(kEndedJobRetention - std::chrono::hours(1));
  fixture.fleet.Run(Milliseconds(1'000));
  cr_assert(fixture.IsKept(fixture.ended));
}

Test(retention, job_ended_long_ago_is_removed_with_an_audit_entry) {
  EndedJobFixture fixture;
  fixture.fleet.clock().Advance(kEndedJobRetention);
  const std::size_t before = fixture.AuditEntries();
  fixture.fleet.Run(Milliseconds(1'000));
  cr_assert_not(fixture.IsKept(fixture.ended));
  cr_assert(fixture.IsKept(fixture.waiting));
  cr_assert_eq(fixture.AuditEntries(), before + 1);
  cr_assert_not(fixture.fleet.node(0).state().View()->jobs.contains(fixture.ended));
}

Test(retention, audit_entries_older_than_kept_are_removed) {
  EndedJobFixture fixture;
  fixture.fleet.clock().Advance(kAuditRetention + std::chrono::hours(1));
  fixture.fleet.Run(Milliseconds(2'000));
  // The entry that is left records the removal of the job.
  cr_assert_eq(fixture.AuditEntries(), 1U);
}

}  // namespace papayalift
