#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

/// A ready step for which there is room twice over must not wait longer.
constexpr Milliseconds kStartBound{3'000};
constexpr Milliseconds kLong{90'000};
const JobId kWaiting = MakeJobId(9);

/// Four racks of three minions. A long task takes a whole minion of each, so that eight minions are
/// empty and no rack is.
struct BusyRacks : TestCluster {
  explicit BusyRacks(int nodes = 1, int busy_minions_of_each_rack = 1) : TestCluster(nodes, 0) {
    for (int number = 0; number < 12; ++number) {
      minions.Add(MinionId("m" + std::to_string(number)), RackOf(number / 3),
                  Resources{8'000, 8'000, 8});
    }
    Run(Milliseconds(1'000));
    for (int rack = 0; rack < 4; ++rack) {
      RegisteredJob job = MakeDataJob(rack, busy_minions_of_each_rack);
      job.duration = kLong;
      Submit(MakeJobId(rack), job);
    }
    Run(Milliseconds(500));
  }

  static RackId RackOf(int number) { return RackId("r" + std::to_string(number)); }

  static RegisteredJob MakeDataJob(int rack, int tasks) {
    RegisteredJob job;
    job.work.steps = {MakeStep(tasks, 8)};
    job.work.steps[0].data_rack = RackOf(rack);
    job.work.steps[0].estimate = kLong;
    return job;
  }

  static RegisteredJob MakeGang(Milliseconds estimate) {
    RegisteredJob job;
    job.work.steps = {MakeStep(3, 8)};
    job.work.steps[0].kind = WorkStepKind::kGang;
    job.work.steps[0].prefers_one_rack = true;
    job.work.steps[0].estimate = estimate;
    job.duration = estimate;
    return job;
  }

  std::size_t running() const { return minions.RunningOn(kWaiting).size(); }
};

}  // namespace

Test(busy_rack, gang_with_room_on_other_racks_is_not_left_waiting) {
  BusyRacks cluster;
  cluster.Submit(kWaiting, BusyRacks::MakeGang(Milliseconds(8'500)));
  cluster.Run(kStartBound);
  cr_assert_eq(cluster.running(), 3);
}

Test(busy_rack, gang_of_an_hour_with_room_on_other_racks_is_not_left_waiting) {
  BusyRacks cluster;
  cluster.Submit(kWaiting, BusyRacks::MakeGang(Milliseconds(3'600'000)));
  cluster.Run(kStartBound);
  cr_assert_eq(cluster.running(), 3);
}

Test(busy_rack, gang_is_not_left_waiting_anew_by_the_next_leader) {
  BusyRacks cluster(2);
  cluster.Submit(kWaiting, BusyRacks::MakeGang(Milliseconds(8'500)));
  cluster.Run(Milliseconds(1'000));
  if (cluster.running() == 0) {
    cluster.Kill(cluster.leader_index());
    while (cluster.leader() == nullptr) {
      cluster.Run(Milliseconds(100));
    }
  }
  cluster.Run(kStartBound);
  cr_assert_eq(cluster.running(), 3);
}

Test(busy_rack, task_with_data_on_a_full_rack_is_not_left_waiting) {
  BusyRacks cluster(1, 3);
  cluster.minions.Add(MinionId("m12"), BusyRacks::RackOf(4), Resources{80'000, 80'000, 160});
  cluster.Run(Milliseconds(1'000));
  RegisteredJob job = BusyRacks::MakeDataJob(0, 2);
  job.work.steps[0].estimate = Milliseconds(60'000);
  cluster.Submit(kWaiting, job);
  cluster.Run(kStartBound);
  cr_assert_eq(cluster.running(), 2);
}

}  // namespace papayalift
