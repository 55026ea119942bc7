#include "capacity/target_fleet.h"

#include <fmt/format.h>

#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"
#include "libraries/model/placement_codec.h"

namespace papayalift {

namespace {

constexpr int kTasksPerGang = 4;
constexpr int kWorkersPerRack = 8;
constexpr int kFirstPort = 10'000;
constexpr int kZones = 11;

}  // namespace

std::string MakeBundleText(const TargetSize& size) {
  std::string text;
  for (int zone = 0; zone < size.zones; ++zone) {
    text += fmt::format("[[zone]]\nname = \"zone-{}\"\n\n", zone);
  }
  for (int workspace = 0; workspace < size.workspaces; ++workspace) {
    text += fmt::format(
        "[[workspace]]\nname = \"team-{}\"\nquota = {}\n[[workspace.guarantee]]\ntasks = 8\n"
        "accelerators_per_task = 1\ncount = 2\n\n",
        workspace, size.accelerators);
  }
  for (int worker = 0; worker < size.workers; ++worker) {
    text += fmt::format(
        "[[worker]]\nname = \"worker-{}\"\nzone = \"zone-{}\"\nrack = \"rack-{}\"\n"
        "address = \"10.0.{}.{}:{}\"\naccelerators = 2\n\n",
        worker, worker % size.zones, worker / size.zones / kWorkersPerRack, worker / 250,
        worker % 250, kFirstPort);
  }
  return text;
}

JobRecord MakeJobRecord(int number) {
  JobRecord job;
  job.spec.workspace = WorkspaceId(fmt::format("team-{}", number % 32));
  job.spec.key = CallerKey(fmt::format("nightly-training-{:06}", number));
  job.spec.shape = Shape{TaskCount(kTasksPerGang), AcceleratorCount(1)};
  job.spec.payload = std::string(64, 'p');
  job.id = JobIdOf(job.spec.workspace, job.spec.key);
  job.attempt_id = AttemptId(fmt::format("node-1-0123456789abcdef-{}", number));
  job.state = JobState::kSucceeded;
  job.verdict = Verdict::kRan;
  job.reason = "all its tasks succeeded";
  job.submitted_at = Milliseconds(1'796'367'651'085);
  job.started_at = job.submitted_at;
  job.finished_at = job.submitted_at;
  return job;
}

PlacementRecord MakePlacementRecord(int number, int tasks) {
  const JobRecord job = MakeJobRecord(number);
  PlacementRecord placement;
  placement.job = job.id;
  placement.workspace = job.spec.workspace;
  placement.attempt_id = job.attempt_id;
  placement.zone = ZoneId(fmt::format("zone-{}", number % kZones));
  placement.shape = Shape{TaskCount(tasks), AcceleratorCount(1)};
  placement.phase = PlacementPhase::kCommitted;
  placement.reserved_at = job.submitted_at;
  for (int task = 0; task < tasks; ++task) {
    placement.tasks.push_back(
        TaskPlacement{WorkerId(fmt::format("worker-{}", (number * kTasksPerGang + task) % 720)),
                      AcceleratorSet(1)});
  }
  return placement;
}

RangeAnswer MakeRecords(int ended, int gangs) {
  RangeAnswer answer;
  answer.revision = Revision(1);
  for (int number = 0; number < ended + gangs; ++number) {
    JobRecord job = MakeJobRecord(number);
    job.state = number < ended ? JobState::kSucceeded : JobState::kRunning;
    answer.records.push_back(KeyValue{keys::JobKey(job.id), EncodeJob(job), Revision(1)});
    if (number >= ended) {
      const PlacementRecord placement = MakePlacementRecord(number, kTasksPerGang);
      answer.records.push_back(KeyValue{keys::PlacementKey(placement.zone, placement.job),
                                        EncodePlacement(placement), Revision(1)});
    }
  }
  return answer;
}

}  // namespace papayalift
