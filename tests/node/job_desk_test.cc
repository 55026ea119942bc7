#include "libraries/node/job_desk.h"

#include <criterion/criterion.h>

#include "node/test_fleet.h"

namespace papayalift {

namespace {

struct DeskFixture {
  JobDesk& desk() { return fleet.node(0).jobs(); }
  FaultyStore& store() { return fleet.node(0).store(); }

  TestFleet fleet{2};
  const JobSpec spec = SpecOf("order", 1, 1);
  const JobId job = JobIdOf(spec.workspace, spec.key);
};

}  // namespace

Test(job_desk, submit_answer_lost_is_found_accepted) {
  DeskFixture fixture;
  fixture.store().FailNextCommit(CommitFault::kAnswerLost);
  const absl::StatusOr<SubmitAnswer> answer = fixture.desk().Submit(fixture.spec);
  cr_assert(answer.ok());
  cr_assert(answer->acceptance == Acceptance::kNew);
}

Test(job_desk, submit_never_sent_is_surely_not_accepted) {
  DeskFixture fixture;
  fixture.store().FailNextCommit(CommitFault::kDropped);
  cr_assert(absl::IsUnavailable(fixture.desk().Submit(fixture.spec).status()));
  cr_assert(absl::IsNotFound(fixture.desk().Read(fixture.job).status()));
}

Test(job_desk, submit_applied_late_is_not_called_refused) {
  DeskFixture fixture;
  fixture.store().FailNextCommit(CommitFault::kDelayed);
  cr_assert(absl::IsUnknown(fixture.desk().Submit(fixture.spec).status()));
  fixture.store().DeliverDelayed();
  const absl::StatusOr<SubmitAnswer> again = fixture.desk().Submit(fixture.spec);
  cr_assert(again.ok());
  cr_assert(again->acceptance == Acceptance::kKnownAlready ||
            again->acceptance == Acceptance::kNew);
}

Test(job_desk, submit_twice_through_two_nodes_is_one_job) {
  DeskFixture fixture;
  cr_assert(fixture.desk().Submit(fixture.spec).ok());
  // The other node has not heard of it.
  fixture.fleet.clock().Advance(Milliseconds(5));
  const absl::StatusOr<SubmitAnswer> again = fixture.fleet.node(1).jobs().Submit(fixture.spec);
  cr_assert(again.ok());
  cr_assert(again->acceptance == Acceptance::kKnownAlready);
  cr_assert(again->job.id == fixture.job);
}

Test(job_desk, submit_same_key_other_specification_is_refused) {
  DeskFixture fixture;
  cr_assert(fixture.desk().Submit(fixture.spec).ok());
  JobSpec other = fixture.spec;
  other.payload = "run 3s";
  cr_assert(absl::IsAborted(fixture.fleet.node(1).jobs().Submit(other).status()));
}

Test(job_desk, cancel_answer_lost_is_found_taken) {
  DeskFixture fixture;
  cr_assert(fixture.desk().Submit(fixture.spec).ok());
  fixture.store().FailNextCommit(CommitFault::kAnswerLost);
  const absl::StatusOr<JobRecord> answer = fixture.desk().Cancel(fixture.job);
  cr_assert(answer.ok());
  cr_assert(answer->state == JobState::kCancelled);
}

Test(job_desk, cancel_answer_lost_and_store_gone_is_not_called_refused) {
  DeskFixture fixture;
  cr_assert(fixture.desk().Submit(fixture.spec).ok());
  fixture.store().FailNextCommit(CommitFault::kAnswerLost);
  fixture.store().CutOffAfterReads(1);
  cr_assert(absl::IsUnknown(fixture.desk().Cancel(fixture.job).status()));
}

}  // namespace papayalift
