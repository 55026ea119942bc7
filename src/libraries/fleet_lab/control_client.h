/// Client of the control endpoints of a fleet's stand-ins.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "libraries/fleet_lab/fleet_listing.h"
#include "libraries/http/http_client.h"
#include "stand_ins/control/control_messages.h"

namespace papayalift {

/// Thread-safe.
class ControlClient {
 public:
  ControlClient(const FleetListing& fleet, std::shared_ptr<HttpClient> client)
      : m_fleet(fleet), m_client(std::move(client)) {}

  absl::Status SetFaults(const std::string& name, const FaultOrder& order);
  absl::Status SetConduct(const std::string& name, const ConductOrder& order);
  absl::Status Forget(const std::string& name) { return Post(name, "/control/forget", "{}"); }
  absl::Status BreakWatches() { return Post("platform", "/control/watches/break", "{}"); }
  absl::Status Compact() { return Post("platform", "/control/compact", "{}"); }

  /// Returns what each worker recorded since the previous call; omits workers that do not answer.
  std::map<WorkerId, WorkerRecord> NewWorkerRecords();
  std::map<MinionId, MinionRecord> NewMinionRecords();
  /// Returns the number of calls that the platform's key-value service received, by kind.
  std::map<std::string, std::int64_t> PlatformCalls();

 private:
  struct Position {
    std::size_t starts = 0;
    std::size_t renewals = 0;
  };

  absl::Status Post(const std::string& name, const std::string& path, std::string body);

  const FleetListing& m_fleet;
  const std::shared_ptr<HttpClient> m_client;
  /// Read positions; accessed only by the thread of FleetWatcher that reads records.
  std::map<WorkerId, Position> m_worker_positions;
  std::map<MinionId, std::size_t> m_minion_positions;
};

}  // namespace papayalift
