#include "libraries/node/job_manager.h"

#include <criterion/criterion.h>

#include "node/test_fleet.h"

namespace papayalift {

namespace {

struct JobManagerFixture {
  JobManager& manager() { return fleet.node(0).jobs(); }
  FaultyStore& store() { return fleet.node(0).store(); }

  TestFleet fleet{2};
  const JobSpec spec = SpecOf("order", 1, 1);
  const JobId job = JobIdOf(spec.workspace, spec.key);
};

}  // namespace

Test(job_manager, submit_answer_lost_is_found_accepted) {
  JobManagerFixture fixture;
  fixture.store().FailNextCommit(CommitFault::kAnswerLost);
  const absl::StatusOr<SubmitResult> answer = fixture.manager().Submit(fixture.spec);
  cr_assert(answer.ok());
  cr_assert(answer->acceptance == Acceptance::kNew);
}

Test(job_manager, submit_never_sent_is_not_accepted) {
  JobManagerFixture fixture;
  fixture.store().FailNextCommit(CommitFault::kDropped);
  cr_assert(absl::IsUnavailable(fixture.manager().Submit(fixture.spec).status()));
  cr_assert(absl::IsNotFound(fixture.manager().Read(fixture.job).status()));
}

Test(job_manager, submit_applied_late_is_reported_as_unknown) {
  JobManagerFixture fixture;
  fixture.store().FailNextCommit(CommitFault::kDelayed);
  cr_assert(absl::IsUnknown(fixture.manager().Submit(fixture.spec).status()));
  fixture.store().DeliverDelayed();
  const absl::StatusOr<SubmitResult> again = fixture.manager().Submit(fixture.spec);
  cr_assert(again.ok());
  cr_assert(again->acceptance == Acceptance::kExisting || again->acceptance == Acceptance::kNew);
}

Test(job_manager, submit_twice_through_two_nodes_is_one_job) {
  JobManagerFixture fixture;
  cr_assert(fixture.manager().Submit(fixture.spec).ok());
  // The other node has not learned of the job.
  fixture.fleet.clock().Advance(Milliseconds(5));
  const absl::StatusOr<SubmitResult> again = fixture.fleet.node(1).jobs().Submit(fixture.spec);
  cr_assert(again.ok());
  cr_assert(again->acceptance == Acceptance::kExisting);
  cr_assert(again->job.id == fixture.job);
}

Test(job_manager, submit_same_key_other_specification_is_refused) {
  JobManagerFixture fixture;
  cr_assert(fixture.manager().Submit(fixture.spec).ok());
  JobSpec other = fixture.spec;
  other.payload = "run 3s";
  cr_assert(absl::IsAborted(fixture.fleet.node(1).jobs().Submit(other).status()));
}

Test(job_manager, cancel_answer_lost_is_found_accepted) {
  JobManagerFixture fixture;
  cr_assert(fixture.manager().Submit(fixture.spec).ok());
  fixture.store().FailNextCommit(CommitFault::kAnswerLost);
  const absl::StatusOr<JobRecord> answer = fixture.manager().Cancel(fixture.job);
  cr_assert(answer.ok());
  cr_assert(answer->state == JobState::kCancelled);
}

Test(job_manager, cancel_answer_lost_and_store_gone_is_reported_as_unknown) {
  JobManagerFixture fixture;
  cr_assert(fixture.manager().Submit(fixture.spec).ok());
  fixture.store().FailNextCommit(CommitFault::kAnswerLost);
  fixture.store().CutOffAfterReads(1);
  cr_assert(absl::IsUnknown(fixture.manager().Cancel(fixture.job).status()));
}

}  // namespace papayalift
