#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

constexpr Milliseconds kEstimate{3'000};
constexpr Milliseconds kLong{120'000};
constexpr Milliseconds kLink{2'000};
/// Work on another rack is worth waiting for the preferred one for so long.
constexpr Milliseconds kMaxRackWait = 2 * kEstimate;

const JobId kGang = MakeJobId(9);

RegisteredJob MakeTask(Milliseconds duration) {
  RegisteredJob job;
  job.work.steps = {MakeStep(1, 8)};
  job.work.steps[0].estimate = duration;
  job.duration = duration;
  return job;
}

/// Tasks of two seconds on a rack, each started when the one before has ended.
RegisteredJob MakeChain(const RackId& rack) {
  RegisteredJob job;
  job.duration = kLink;
  for (int link = 0; link < 20; ++link) {
    job.work.steps.push_back(MakeStep(1, 8));
    job.work.steps.back().estimate = kLink;
    job.work.steps.back().data_rack = rack;
    if (link > 0) {
      job.work.steps.back().after = {link - 1};
    }
  }
  return job;
}

/// Two racks of two minions. A chain always holds one minion of each, so that a gang of two that
/// prefers one rack finds none, though one seems to be free soon.
struct HalfFullRacks : TestCluster {
  explicit HalfFullRacks(const LeaderSettings& settings = {}) : TestCluster(1, 0, settings) {
    PutManifestOfTwoWorkspaces(2);
    for (int number = 0; number < 4; ++number) {
      minions.Add(MinionId("m" + std::to_string(number)), RackId(number < 2 ? "r0" : "r1"),
                  Resources{8'000, 8'000, 8});
    }
    Run(Milliseconds(1'000));
    Submit(MakeJobId(1), MakeChain(RackId("r0")), kGuaranteedPriority);
    Submit(MakeJobId(2), MakeChain(RackId("r1")), kGuaranteedPriority);
    Run(Milliseconds(500));
    RegisteredJob gang;
    gang.work.steps = {MakeStep(2, 8)};
    gang.work.steps[0].kind = WorkStepKind::kGang;
    gang.work.steps[0].prefers_one_rack = true;
    gang.work.steps[0].estimate = kEstimate;
    gang.duration = kLong;
    Submit(kGang, gang, Priority(2));
  }

  /// A short task within the guarantee of the other workspace. Only the gang can be stopped for it.
  void SubmitGuaranteedTask() {
    const JobId id = MakeJobId(3);
    const RegisteredJob job = MakeTask(Milliseconds(2'000));
    minions.RegisterJob(id, job);
    node(0).Ask(JobRequestKind::kSubmit, "/p0/" + id.text(), "other", EncodeJobBody(job.work));
  }

  std::size_t members() const { return minions.RunningOn(kGang).size(); }
};

}  // namespace

Test(rack_wait, gang_that_loses_nothing_elsewhere_is_not_held) {
  LeaderSettings settings;
  settings.remote_factor = 1;
  HalfFullRacks cluster(settings);
  cluster.Run(Milliseconds(500));
  cr_assert_eq(cluster.members(), 2);
}

// After each stop the gang waited anew for a free rack, and was not started by the end of a day.
Test(rack_wait, gang_that_was_stopped_does_not_wait_for_a_rack_anew) {
  HalfFullRacks cluster;
  cluster.Run(kMaxRackWait - Milliseconds(1'000));
  cr_assert_eq(cluster.members(), 0);
  cluster.Run(Milliseconds(2'000));
  cr_assert_eq(cluster.members(), 2);
  cluster.SubmitGuaranteedTask();
  cluster.Run(Milliseconds(1'000));
  cr_assert_eq(cluster.members(), 0);
  cluster.Run(Milliseconds(3'000));
  cr_assert_eq(cluster.members(), 2);
  cr_assert(cluster.minions.violations().empty());
}

}  // namespace papayalift
