#include "libraries/leader/wait_monitor.h"

#include <criterion/criterion.h>

namespace papayalift {

namespace {

const JobId kJob("0000000000000001");
const ServiceId kService("pool");

struct MonitorFixture {
  Metrics metrics;
  WaitMonitor monitor{metrics};
  PlanInputs inputs;

  void Record(WaitReason reason, Milliseconds now) {
    monitor.Record({PlannedWait{kJob, 0, kService, WorkspaceId(), 2, reason}}, inputs, {}, now);
  }

  std::int64_t CountOf(const std::string& reason) const {
    return metrics.counter("papayalift_step_waits_total{reason=\"" + reason + "\"}");
  }

  bool Exports(const std::string& line) const {
    return metrics.Text().find(line) != std::string::npos;
  }
};

}  // namespace

Test(wait_monitor, short_wait_is_not_counted) {
  MonitorFixture fixture;
  fixture.Record(WaitReason::kRack, Milliseconds(0));
  fixture.Record(WaitReason::kRack, Milliseconds(999));
  cr_assert_eq(fixture.CountOf("rack"), 0);
}

Test(wait_monitor, long_wait_is_counted_once_for_each_reason) {
  MonitorFixture fixture;
  for (const std::int64_t now : {0, 1'000, 1'400, 5'000}) {
    fixture.Record(WaitReason::kRack, Milliseconds(now));
  }
  cr_assert_eq(fixture.CountOf("rack"), 1);
  fixture.Record(WaitReason::kNoCapacity, Milliseconds(5'400));
  cr_assert_eq(fixture.CountOf("no_capacity"), 1);
  cr_assert_eq(fixture.monitor.Find(kJob, 0)->ready_since.count(), 0);
  cr_assert_eq(fixture.monitor.Find(kJob, 0)->reason_since.count(), 5'400);
}

// Each change of the reason began the second anew, and nothing was written.
Test(wait_monitor, long_wait_for_reasons_that_alternate_is_counted_once_for_each) {
  MonitorFixture fixture;
  for (std::int64_t now = 0; now <= 60'000; now += 800) {
    fixture.Record(WaitReason::kReserved, Milliseconds(now));
    fixture.Record(WaitReason::kNoCapacity, Milliseconds(now + 400));
  }
  cr_assert_eq(fixture.CountOf("reserved"), 1);
  cr_assert_eq(fixture.CountOf("no_capacity"), 1);
}

Test(wait_monitor, longest_wait_is_exported_until_the_step_has_started) {
  MonitorFixture fixture;
  fixture.Record(WaitReason::kStops, Milliseconds(0));
  fixture.Record(WaitReason::kStops, Milliseconds(2'500));
  cr_assert(fixture.Exports("papayalift_longest_step_wait_ms{reason=\"stops\"} 2500"));
  fixture.monitor.Record({}, fixture.inputs, {}, Milliseconds(3'000));
  cr_assert(fixture.Exports("papayalift_waiting_steps{reason=\"stops\"} 0"));
  cr_assert_null(fixture.monitor.Find(kJob, 0));
}

Test(plan_inputs, unusable_minions_are_named_by_cause) {
  PlanInputs inputs;
  inputs.AddUsable(kService, Resources{8'000, 8'000, 8}, Resources{1'000, 1'000, 1});
  inputs.AddUnusable(kService, UnusableCause::kNoReport);
  inputs.AddUnusable(kService, UnusableCause::kUnansweredCall);
  inputs.AddUnusable(kService, UnusableCause::kUnansweredCall);
  cr_assert_eq(inputs.Of(kService).UnusableText(), "no_report:1 unanswered_call:2");
  cr_assert_eq(inputs.Of(kService).usable_minions, 1);
  cr_assert_eq(inputs.Of(ServiceId("other")).UnusableText(), "");
}

}  // namespace papayalift
