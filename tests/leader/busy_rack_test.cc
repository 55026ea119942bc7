#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

/// A ready step for which there is room twice over must not wait longer.
constexpr Milliseconds kStartBound{3'000};
constexpr Milliseconds kLong{90'000};
constexpr Milliseconds kLink{2'000};
constexpr int kRacks = 4;
const JobId kWaiting = MakeJobId(9);

/// Four racks of three minions, all empty.
struct EmptyRacks : TestCluster {
  explicit EmptyRacks(int nodes) : TestCluster(nodes, 0) {
    for (int number = 0; number < 3 * kRacks; ++number) {
      minions.Add(MinionId("m" + std::to_string(number)), RackOf(number / 3),
                  Resources{8'000, 8'000, 8});
    }
    Run(Milliseconds(1'000));
  }

  static RackId RackOf(int number) { return RackId("r" + std::to_string(number)); }

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

/// A long task takes a whole minion of each rack, so that eight minions are empty and no rack is.
struct BusyRacks : EmptyRacks {
  explicit BusyRacks(int nodes = 1, int busy_minions_of_each_rack = 1) : EmptyRacks(nodes) {
    for (int rack = 0; rack < kRacks; ++rack) {
      RegisteredJob job = MakeDataJob(rack, busy_minions_of_each_rack);
      job.duration = kLong;
      Submit(MakeJobId(rack), job);
    }
    Run(Milliseconds(500));
  }

  static RegisteredJob MakeDataJob(int rack, int tasks) {
    RegisteredJob job;
    job.work.steps = {MakeStep(tasks, 8)};
    job.work.steps[0].data_rack = RackOf(rack);
    job.work.steps[0].estimate = kLong;
    return job;
  }
};

/// A chain of short tasks always takes a whole minion of each rack, so that each rack seems to be
/// free soon.
struct RacksFreeSoon : EmptyRacks {
  explicit RacksFreeSoon(int nodes) : EmptyRacks(nodes) {
    for (int rack = 0; rack < kRacks; ++rack) {
      Submit(MakeJobId(rack), MakeChain(RackOf(rack)));
    }
    Run(Milliseconds(500));
  }

  static RegisteredJob MakeChain(const RackId& rack) {
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

// A leader that did not know of the hold before its term held the gang as long again.
Test(busy_rack, gang_that_was_held_in_a_former_term_is_started_by_the_next_leader_at_once) {
  constexpr Milliseconds kAtOnce{1'000};
  RacksFreeSoon cluster(2);
  cluster.Submit(kWaiting, RacksFreeSoon::MakeGang(Milliseconds(8'500)), Priority(2));
  cluster.Run(Milliseconds(1'000));
  cr_assert_eq(cluster.running(), 0);
  cluster.Kill(cluster.leader_index());
  while (cluster.leader() == nullptr) {
    cluster.Run(Milliseconds(100));
  }
  cluster.Run(kAtOnce);
  cr_assert_eq(cluster.running(), 3);
}

Test(busy_rack, tasks_are_held_for_their_data_while_others_of_the_job_run) {
  BusyRacks cluster;
  RegisteredJob job = BusyRacks::MakeDataJob(0, 4);
  job.duration = kLong;
  cluster.Submit(kWaiting, job);
  cluster.Run(kStartBound);
  cr_assert_eq(cluster.running(), 2);
}

Test(busy_rack, task_with_data_on_a_full_rack_is_not_left_waiting) {
  BusyRacks cluster(1, 3);
  cluster.minions.Add(MinionId("m12"), BusyRacks::RackOf(4), Resources{80'000, 80'000, 160});
  cluster.Run(Milliseconds(1'000));
  RegisteredJob job = BusyRacks::MakeDataJob(0, 2);
  job.work.steps[0].estimate = Milliseconds(60'000);
  job.duration = kLong;
  cluster.Submit(kWaiting, job);
  cluster.Run(kStartBound);
  cr_assert_eq(cluster.running(), 2);
}

}  // namespace papayalift
