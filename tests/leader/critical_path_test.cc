#include "libraries/leader/critical_path.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

#include "leader/test_cluster.h"
#include "platform/platform_schema.h"

namespace papayalift {

namespace {

std::vector<StepSpec> Chain(int length) {
  std::vector<StepSpec> steps(static_cast<std::size_t>(length), MakeStep(1, 1));
  for (int step = 1; step < length; ++step) {
    steps[static_cast<std::size_t>(step)].after = {step - 1};
  }
  return steps;
}

/// The path from the step by its definition.
Milliseconds PathByDefinition(const std::vector<StepSpec>& steps, const std::vector<bool>& is_done,
                              std::size_t from) {
  Milliseconds longest{0};
  for (std::size_t later = from + 1; later < steps.size(); ++later) {
    const std::vector<int>& after = steps[later].after;
    if (std::find(after.begin(), after.end(), static_cast<int>(from)) != after.end()) {
      longest = std::max(longest, PathByDefinition(steps, is_done, later));
    }
  }
  return longest + (is_done[from] ? Milliseconds(0) : steps[from].estimate);
}

RegisteredJob JobOf(std::vector<StepSpec> steps) {
  RegisteredJob job;
  job.work.steps = std::move(steps);
  job.duration = Milliseconds(10);
  return job;
}

}  // namespace

Test(critical_path, path_of_a_chain_is_the_sum_of_what_is_not_done) {
  const std::vector<StepSpec> steps = Chain(4);
  cr_assert_eq(TotalCriticalPath(steps).count(), 4'000);
  const std::vector<Milliseconds> paths = RemainingPaths(steps, {true, true, false, false});
  cr_assert_eq(paths[0].count(), 2'000);
  cr_assert_eq(paths[3].count(), 1'000);
}

Test(critical_path, paths_of_any_graph_are_as_defined) {
  cr_assert(rc::check("each path is the longest by its definition", [] {
    const int count = *rc::gen::inRange(1, 10);
    std::vector<StepSpec> steps;
    std::vector<bool> is_done;
    for (int step = 0; step < count; ++step) {
      StepSpec spec;
      spec.estimate = Milliseconds(*rc::gen::inRange(0, 1'000));
      for (int earlier = 0; earlier < step; ++earlier) {
        if (*rc::gen::arbitrary<bool>()) {
          spec.after.push_back(earlier);
        }
      }
      steps.push_back(spec);
      is_done.push_back(*rc::gen::arbitrary<bool>());
    }
    const std::vector<Milliseconds> paths = RemainingPaths(steps, is_done);
    for (std::size_t step = 0; step < steps.size(); ++step) {
      RC_ASSERT(paths[step] == PathByDefinition(steps, is_done, step));
    }
  }));
}

// One job of 200 steps kept all others queued: a pass took time by the fourth power of its steps.
Test(critical_path, job_of_a_thousand_steps_keeps_no_other_from_being_done) {
  std::vector<StepSpec> fan = Chain(1'000);
  for (std::size_t step = 1; step < fan.size(); ++step) {
    fan[step].after = {0};
  }
  std::vector<StepSpec> dense = Chain(300);
  for (std::size_t step = 1; step < dense.size(); ++step) {
    for (int earlier = 0; earlier < static_cast<int>(step) - 1; ++earlier) {
      dense[step].after.push_back(earlier);
    }
  }
  int number = 0;
  for (const std::vector<StepSpec>& steps : {Chain(1'000), fan, dense}) {
    TestCluster cluster;
    const JobId large = MakeJobId(++number);
    cr_assert(cluster.Submit(large, JobOf(steps)).kind == JobReplyKind::kAccepted);
    cluster.Run(Milliseconds(500));
    cluster.Submit(MakeJobId(100), JobOf(Chain(2)));
    cluster.Run(Milliseconds(2'000));
    cr_expect(cluster.StateOf(MakeJobId(100)) == WorkState::kDone);
    cr_expect(cluster.minions.starts(large) > 5);
    cr_expect(cluster.minions.violations().empty());
  }
}

Test(critical_path, job_above_the_size_that_can_be_planned_is_refused_with_the_reason) {
  const platform::PlatformSchema schema;
  std::vector<StepSpec> dense = Chain(400);
  for (std::size_t step = 1; step < dense.size(); ++step) {
    for (int earlier = 0; earlier < static_cast<int>(step) - 1; ++earlier) {
      dense[step].after.push_back(earlier);
    }
  }
  std::vector<StepSpec> wide = Chain(3);
  for (StepSpec& step : wide) {
    step.count = 5'000;
  }
  std::vector<StepSpec> endless = Chain(1);
  endless[0].estimate = Milliseconds(9'223'372'036'854'775'000);
  for (const std::vector<StepSpec>& steps : {Chain(1'001), dense, wide, endless}) {
    const absl::StatusOr<WorkSpec> work = schema.DecodeWork(EncodeJobBody(JobOf(steps).work));
    cr_expect(absl::IsInvalidArgument(work.status()));
  }
  cr_expect(schema.DecodeWork(EncodeJobBody(JobOf(Chain(1'000)).work)).ok());
}

}  // namespace papayalift
