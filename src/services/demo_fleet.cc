#include "services/demo_fleet.h"

#include <fmt/format.h>

#include "libraries/base/try.h"

namespace papayalift {

namespace {

constexpr char kLoopback[] = "127.0.0.1";
constexpr int kMinionSlots = 8;

std::string ZoneName(int index, const DemoSize& size) {
  return fmt::format("zone-{}", index % size.zones + 1);
}

std::string WorkspacesText() {
  return "[[workspace]]\nname = \"bakeries\"\nquota = 256\n"
         "[[workspace.guarantee]]\ntasks = 8\naccelerators_per_task = 1\n\n"
         "[[workspace]]\nname = \"clinics\"\nquota = 256\n"
         "[[workspace.guarantee]]\ntasks = 2\naccelerators_per_task = 8\n\n";
}

}  // namespace

absl::StatusOr<std::unique_ptr<DemoFleet>> DemoFleet::Create(const DemoSize& size) {
  std::unique_ptr<DemoFleet> fleet(new DemoFleet);
  fleet->m_platform = TRY(PlatformStandIn::Create(kLoopback, 0));
  for (int zone = 0; zone < size.zones; ++zone) {
    fleet->m_bundle += fmt::format("[[zone]]\nname = \"{}\"\n\n", ZoneName(zone, size));
  }
  fleet->m_bundle += WorkspacesText();
  TRY(fleet->StartWorkers(size));
  TRY(fleet->StartMinions(size));
  TRY(fleet->StartNodes(size));
  return fleet;
}

absl::Status DemoFleet::StartWorkers(const DemoSize& size) {
  for (int index = 0; index < size.workers; ++index) {
    m_workers.push_back(
        TRY(WorkerStandIn::Create(kLoopback, 0, AcceleratorCount(size.accelerators_per_worker))));
    const int rack = index / size.zones / size.workers_per_rack + 1;
    m_bundle += fmt::format(
        "[[worker]]\nname = \"worker-{}\"\nzone = \"{}\"\nrack = \"{}-rack-{}\"\n"
        "address = \"{}:{}\"\naccelerators = {}\n\n",
        index + 1, ZoneName(index, size), ZoneName(index, size), rack, kLoopback,
        m_workers.back()->port(), size.accelerators_per_worker);
  }
  return absl::OkStatus();
}

absl::Status DemoFleet::StartMinions(const DemoSize& size) {
  m_bundle += "[[service]]\nname = \"previews\"\n\n";
  for (int index = 0; index < size.minions; ++index) {
    m_minions.push_back(TRY(MinionStandIn::Create(kLoopback, 0, kMinionSlots)));
    m_bundle += fmt::format(
        "[[service.minion]]\nname = \"minion-{}\"\nzone = \"{}\"\naddress = \"{}:{}\"\n"
        "slots = {}\n\n",
        index + 1, ZoneName(index, size), kLoopback, m_minions.back()->port(), kMinionSlots);
  }
  return absl::OkStatus();
}

absl::Status DemoFleet::StartNodes(const DemoSize& size) {
  for (int index = 0; index < size.nodes; ++index) {
    NodeSettings settings;
    settings.id = NodeId(fmt::format("node-{}", index + 1));
    settings.zone = ZoneId(ZoneName(index, size));
    settings.api_address = fmt::format("{}:0", kLoopback);
    settings.peer_address = fmt::format("{}:0", kLoopback);
    settings.store_address = fmt::format("{}:{}", kLoopback, m_platform->port());
    m_nodes.push_back(TRY(EntryNode::Create(settings)));
    m_addresses.push_back(fmt::format("{}:{}", kLoopback, m_nodes.back()->api_port()));
  }
  return absl::OkStatus();
}

}  // namespace papayalift
