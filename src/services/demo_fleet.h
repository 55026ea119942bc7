/// A complete fleet in one process: stand-ins and entry nodes, each on its own loopback port.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/node/entry_node.h"
#include "stand_ins/minion/minion_stand_in.h"
#include "stand_ins/platform/platform_stand_in.h"
#include "stand_ins/worker/worker_stand_in.h"

namespace papayalift {

struct DemoSize {
  int zones = 3;
  int workers = 48;
  int minions = 6;
  int nodes = 3;
  int accelerators_per_worker = 8;
  int workers_per_rack = 8;
};

class DemoFleet {
 public:
  static absl::StatusOr<std::unique_ptr<DemoFleet>> Create(const DemoSize& size);

  /// "IP:port" of each entry node.
  const std::vector<std::string>& nodes() const { return m_addresses; }
  /// The bundle that describes the fleet, in TOML.
  const std::string& bundle() const { return m_bundle; }

 private:
  DemoFleet() = default;

  absl::Status StartWorkers(const DemoSize& size);
  absl::Status StartMinions(const DemoSize& size);
  absl::Status StartNodes(const DemoSize& size);

  std::unique_ptr<PlatformStandIn> m_platform;
  std::vector<std::unique_ptr<WorkerStandIn>> m_workers;
  std::vector<std::unique_ptr<MinionStandIn>> m_minions;
  std::vector<std::unique_ptr<EntryNode>> m_nodes;
  std::vector<std::string> m_addresses;
  std::string m_bundle;
};

}  // namespace papayalift
