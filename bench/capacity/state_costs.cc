#include "capacity/state_costs.h"

#include <fmt/format.h>

#include <memory>

#include "capacity/cost_meter.h"
#include "capacity/target_fleet.h"
#include "libraries/decisions/decide.h"
#include "libraries/model/bundle_file.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"
#include "libraries/model/placement_codec.h"
#include "libraries/node/fleet_state.h"
#include "libraries/node/snapshot_builder.h"

namespace papayalift {

namespace {

constexpr int kRounds = 50;
constexpr int kParseRounds = 10;
constexpr int kPassRounds = 60;
constexpr int kSampleJobs = 1'000;
constexpr int kWaitingJobs = 200;

double HeapOfState(int ended, int gangs) {
  const double before = HeapBytes();
  FleetState state;
  state.Reset(MakeRecords(ended, gangs));
  const std::shared_ptr<const FleetView> view = state.View();
  return HeapBytes() - before;
}

std::shared_ptr<const BundleInForce> InForce(const TargetSize& size) {
  BundleInForce bundle;
  bundle.version = BundleVersion(1);
  bundle.bundle = *ParseBundle(MakeBundleText(size), "target");
  return std::make_shared<const BundleInForce>(std::move(bundle));
}

double PassMicroseconds(const FleetState& state, int waiting) {
  Snapshot snapshot = BuildSnapshot(*state.View(), Milliseconds(0));
  for (int number = 0; number < waiting; ++number) {
    WaitingJob job;
    job.job = JobId(fmt::format("waiting-{}", number));
    job.workspace = WorkspaceId("team-1");
    job.shape = Shape{TaskCount(kMaxGangTasks), AcceleratorCount(2)};
    snapshot.waiting.push_back(job);
  }
  const Policy policy = *FindPolicy("papaya");
  return MinMicroseconds(kPassRounds, [&] { Decide(snapshot, policy); });
}

double ChangeMicroseconds(FleetState& state) {
  std::int64_t revision = 1;
  const JobRecord job = MakeJobRecord(0);
  return MinMicroseconds(kRounds, [&] {
    WatchBatch batch;
    batch.revision = Revision(++revision);
    batch.events.push_back(WatchEvent{
        ChangeKind::kPut, KeyValue{keys::JobKey(job.id), EncodeJob(job), batch.revision}});
    state.Apply(batch);
    state.View();
  });
}

}  // namespace

StateCosts MeasureStateCosts(const TargetSize& size) {
  StateCosts costs;
  costs.job_record_bytes = static_cast<double>(EncodeJob(MakeJobRecord(0)).size());
  const double one_task = static_cast<double>(EncodePlacement(MakePlacementRecord(0, 1)).size());
  const double all_tasks =
      static_cast<double>(EncodePlacement(MakePlacementRecord(0, kMaxGangTasks)).size());
  costs.placement_record_bytes = one_task;
  costs.placement_bytes_per_task = (all_tasks - one_task) / (kMaxGangTasks - 1);
  const std::string bundle_text = MakeBundleText(size);
  costs.bundle_bytes = static_cast<double>(bundle_text.size());
  costs.bundle_parse_us = MinMicroseconds(
      kParseRounds, [&bundle_text] { ParseBundle(bundle_text, "target").IgnoreError(); });
  costs.heap_per_ended_job = HeapOfState(kSampleJobs, 0) / kSampleJobs;
  costs.heap_per_gang = HeapOfState(0, kSampleJobs) / kSampleJobs;

  const double before_bundle = HeapBytes();
  const std::shared_ptr<const BundleInForce> bundle = InForce(size);
  costs.heap_of_bundle = HeapBytes() - before_bundle;
  FleetState state;
  state.Reset(MakeRecords(size.jobs_per_day * size.days_kept, size.gangs()));
  state.SetBundle(bundle);
  state.View();
  costs.heap_at_target = HeapBytes() - before_bundle;
  costs.change_us = ChangeMicroseconds(state);
  costs.pass_us_idle = PassMicroseconds(state, 0);
  costs.pass_us_per_waiting =
      (PassMicroseconds(state, kWaitingJobs) - costs.pass_us_idle) / kWaitingJobs;
  return costs;
}

}  // namespace papayalift
