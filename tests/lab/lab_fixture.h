/// A small scenario: two zones, each with two workers of four accelerators.
#pragma once

#include "libraries/lab/scenario.h"

namespace papayalift {

struct LabFixture {
  LabFixture();

  /// Adds a job class whose jobs are all submitted at `submit` and cancelled at `cancel`.
  void AddJobs(const std::string& name, Shape shape, Milliseconds run_time, Milliseconds submit,
               Milliseconds cancel, int jobs);

  Scenario scenario;
};

inline constexpr Milliseconds kMinute{60'000};
inline constexpr Milliseconds kNeverCancelled = 1000 * kMinute;

inline LabFixture::LabFixture() {
  scenario.name = "small";
  scenario.deployment.zones = 2;
  scenario.deployment.workers_per_rack = 2;
  scenario.deployment.workers = {WorkerGroup{4, AcceleratorCount(4)}};
  WorkspacePlan plan;
  plan.spec.id = WorkspaceId("bakeries");
  plan.spec.quota = AcceleratorCount(16);
  scenario.workspaces = {plan};
  scenario.timing.length = 200 * kMinute;
  scenario.timing.drain = 200 * kMinute;
  scenario.timing.pass_interval = kMinute;
  scenario.timing.checkpoint_interval = 10 * kMinute;
  scenario.timing.failure_time = kMinute;
  scenario.timing.canary_time = kMinute;
  scenario.timing.urgent_claim_limit = Milliseconds(4'400);
  scenario.timing.claim_limit = kMinute;
}

inline void LabFixture::AddJobs(const std::string& name, Shape shape, Milliseconds run_time,
                                Milliseconds submit, Milliseconds cancel, int jobs) {
  JobClass job_class;
  job_class.name = name;
  job_class.shapes = {shape};
  job_class.run_time = run_time;
  scenario.classes.push_back(job_class);
  scenario.cancellation_waves.push_back(
      CancellationWave{name, scenario.workspaces.front().spec.id, submit, cancel, jobs});
}

}  // namespace papayalift
