#include "libraries/decisions/worker_health_tracker.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

namespace papayalift {

namespace {

struct TrackerFixture {
  void Fail(const std::string& worker, const std::string& job) {
    tracker.Observe(TaskEvent{WorkerId(worker), JobId(job), TaskOutcome::kFailed}, now);
  }
  void FailThreeJobsOn(const std::string& worker) {
    for (int job = 0; job < 3; ++job) {
      Fail(worker, fmt::format("{}-job-{}", worker, job));
    }
  }
  WorkerHealth HealthOf(const std::string& worker) const {
    return tracker.HealthOf(WorkerId(worker), now);
  }

  WorkerHealthTracker tracker;
  Milliseconds now = std::chrono::hours(1);
};

}  // namespace

Test(worker_health, three_jobs_fail_in_a_row_worker_goes_on_probation) {
  TrackerFixture fixture;
  fixture.FailThreeJobsOn("bad");
  cr_assert(fixture.HealthOf("bad") == WorkerHealth::kProbation);
  cr_assert(fixture.HealthOf("other") == WorkerHealth::kHealthy);
}

Test(worker_health, one_job_fails_repeatedly_worker_stays_healthy) {
  TrackerFixture fixture;
  for (int attempt = 0; attempt < 10; ++attempt) {
    fixture.Fail("worker", "job");
  }
  cr_assert(fixture.HealthOf("worker") == WorkerHealth::kHealthy);
}

Test(worker_health, canary_succeeds_worker_becomes_healthy) {
  TrackerFixture fixture;
  fixture.FailThreeJobsOn("bad");
  fixture.tracker.Observe(TaskEvent{WorkerId("bad"), JobId("canary"), TaskOutcome::kSucceeded},
                          fixture.now);
  cr_assert(fixture.HealthOf("bad") == WorkerHealth::kHealthy);
}

Test(worker_health, canary_fails_quarantine_doubles_each_time) {
  TrackerFixture fixture;
  fixture.FailThreeJobsOn("bad");
  fixture.Fail("bad", "canary-1");
  cr_assert(fixture.HealthOf("bad") == WorkerHealth::kUnavailable);
  fixture.now += std::chrono::minutes(1);
  cr_assert(fixture.HealthOf("bad") == WorkerHealth::kProbation);
  fixture.Fail("bad", "canary-2");
  fixture.now += std::chrono::minutes(1);
  cr_assert(fixture.HealthOf("bad") == WorkerHealth::kUnavailable);
  fixture.now += std::chrono::minutes(1);
  cr_assert(fixture.HealthOf("bad") == WorkerHealth::kProbation);
}

Test(worker_health, jobs_fail_on_every_worker_workers_stay_healthy) {
  TrackerFixture fixture;
  for (const char* const worker : {"a", "b", "c"}) {
    for (const char* const job : {"faulty-1", "faulty-2", "faulty-3"}) {
      fixture.Fail(worker, job);
    }
  }
  cr_assert(fixture.tracker.IsFaultyJob(JobId("faulty-1")));
  cr_assert(fixture.HealthOf("a") == WorkerHealth::kHealthy);
  cr_assert(fixture.HealthOf("c") == WorkerHealth::kHealthy);
}

}  // namespace papayalift
