#include "libraries/node/fleet_state.h"

#include <criterion/criterion.h>

#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"

namespace papayalift {

namespace {

KeyValue JobAt(const std::string& id, std::int64_t revision) {
  JobRecord job;
  job.id = JobId(id);
  return KeyValue{keys::JobKey(job.id), EncodeJob(job), Revision(revision)};
}

RangeAnswer AnswerAt(std::int64_t revision, std::vector<KeyValue> records) {
  return RangeAnswer{std::move(records), Revision(revision)};
}

std::shared_ptr<const BundleInForce> BundleAt(std::int64_t version) {
  BundleInForce bundle;
  bundle.version = BundleVersion(version);
  return std::make_shared<const BundleInForce>(bundle);
}

}  // namespace

Test(fleet_state, reset_by_an_older_answer_changes_nothing) {
  FleetState state;
  state.Reset(AnswerAt(9, {JobAt("new", 9)}));
  state.Reset(AnswerAt(5, {}));
  cr_assert_eq(state.View()->jobs.size(), 1U);
  cr_assert(state.View()->revision == Revision(9));
}

Test(fleet_state, delete_from_before_the_newest_write_changes_nothing) {
  FleetState state;
  state.Reset(AnswerAt(9, {JobAt("again", 9)}));
  WatchEvent deleted;
  deleted.kind = ChangeKind::kDelete;
  deleted.record = KeyValue{keys::JobKey(JobId("again")), "", Revision(7)};
  state.Apply(WatchBatch{{deleted}, Revision(9)});
  cr_assert_eq(state.View()->jobs.size(), 1U);
  deleted.record.modified = Revision(10);
  state.Apply(WatchBatch{{deleted}, Revision(10)});
  cr_assert(state.View()->jobs.empty());
}

Test(fleet_state, set_bundle_older_version_is_ignored) {
  FleetState state;
  state.SetBundle(BundleAt(4));
  state.SetBundle(BundleAt(3));
  cr_assert(state.View()->bundle->version == BundleVersion(4));
}

Test(fleet_state, view_after_later_changes_stays_the_same) {
  FleetState state;
  state.Reset(AnswerAt(2, {JobAt("one", 2)}));
  const std::shared_ptr<const FleetView> view = state.View();
  state.Apply(WatchBatch{{WatchEvent{ChangeKind::kPut, JobAt("two", 3)}}, Revision(3)});
  cr_assert_eq(view->jobs.size(), 1U);
  cr_assert_eq(state.View()->jobs.size(), 2U);
}

}  // namespace papayalift
