#include "libraries/node/snapshot_builder.h"

#include <criterion/criterion.h>

namespace papayalift {

namespace {

/// A view with an empty bundle in force and two queued jobs.
struct TwoWaitingFixture {
  TwoWaitingFixture() {
    view.bundle = std::make_shared<const BundleInForce>();
    Add("stopped", Milliseconds(0), Milliseconds(5'000));
    Add("patient", Milliseconds(1'000), Milliseconds(1'000));
  }

  void Add(const std::string& name, Milliseconds submitted_at, Milliseconds queued_at) {
    Versioned<JobRecord> job;
    job.value.id = JobId(name);
    job.value.submitted_at = submitted_at;
    job.value.queued_at = queued_at;
    view.jobs[job.value.id] = std::make_shared<const Versioned<JobRecord>>(job);
  }

  FleetView view;
};

}  // namespace

Test(snapshot_builder, job_that_was_stopped_waits_behind_one_that_waited_longer) {
  const TwoWaitingFixture fixture;
  const Snapshot snapshot = BuildSnapshot(fixture.view, Milliseconds(6'000));
  cr_assert_eq(snapshot.waiting.size(), 2U);
  cr_assert(snapshot.waiting[0].job == JobId("patient"));
  cr_assert(snapshot.waiting[0].waiting_for == Milliseconds(5'000));
  cr_assert(snapshot.waiting[1].waiting_for == Milliseconds(1'000));
}

}  // namespace papayalift
