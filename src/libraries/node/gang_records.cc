#include "libraries/node/gang_records.h"

#include <fmt/format.h>

#include <map>
#include <utility>

#include "libraries/base/try.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"
#include "libraries/model/placement_codec.h"

namespace papayalift {

absl::StatusOr<GangRecords> ReadGang(KeyValueService& store, const JobId& job, const ZoneId& zone) {
  const std::vector<RangeAnswer> answers =
      TRY(store.RangeAll({SingleKey(keys::JobKey(job)), SingleKey(keys::PlacementKey(zone, job))}));
  GangRecords records;
  if (!answers[0].records.empty()) {
    const KeyValue& record = answers[0].records.front();
    records.job = Versioned<JobRecord>{TRY(DecodeJob(record.value)), record.modified};
  }
  if (!answers[1].records.empty()) {
    const KeyValue& record = answers[1].records.front();
    records.placement =
        Versioned<PlacementRecord>{TRY(DecodePlacement(record.value)), record.modified};
  }
  return records;
}

absl::StatusOr<std::vector<WorkerShare>> SharesOf(const PlacementRecord& placement,
                                                  const Bundle& bundle) {
  for (const TaskPlacement& task : placement.tasks) {
    if (bundle.FindWorker(task.worker) == nullptr) {
      return absl::NotFoundError(
          fmt::format("the bundle does not declare worker '{}'", task.worker.text()));
    }
  }
  return SharesToStop(placement, bundle);
}

std::vector<WorkerShare> SharesToStop(const PlacementRecord& placement, const Bundle& bundle) {
  std::map<WorkerId, WorkerShare> shares;
  for (const TaskPlacement& task : placement.tasks) {
    const WorkerSpec* const worker = bundle.FindWorker(task.worker);
    WorkerShare& share = shares[task.worker];
    share.worker = WorkerTarget{task.worker, worker == nullptr ? "" : worker->address};
    share.tasks.push_back(task.accelerators);
  }
  std::vector<WorkerShare> list;
  list.reserve(shares.size());
  for (auto& [id, share] : shares) {
    list.push_back(std::move(share));
  }
  return list;
}

}  // namespace papayalift
