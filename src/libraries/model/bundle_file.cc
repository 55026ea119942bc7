#include "libraries/model/bundle_file.h"

#include <fmt/format.h>

#include <set>

#include "libraries/base/try.h"
#include "libraries/model/accelerator_set.h"
#include "libraries/model/job_spec.h"
#include "libraries/settings/config_document.h"

namespace papayalift {

namespace {

constexpr int kMaxCount = 100'000;
constexpr int kMaxSlots = 1'000;
constexpr int kMaxConnections = 10'000;

Shape ReadShape(ConfigSection& section) {
  Shape shape;
  shape.tasks = TaskCount(static_cast<int>(section.Number("tasks", 1, 1, kMaxGangTasks)));
  shape.accelerators_per_task = AcceleratorCount(static_cast<int>(
      section.Number("accelerators_per_task", 1, 1, AcceleratorSet::kMaxWorkerAccelerators)));
  return shape;
}

Guarantee ReadGuarantee(ConfigSection& section) {
  Guarantee guarantee;
  guarantee.shape = ReadShape(section);
  guarantee.count = static_cast<int>(section.Number("count", 1, 1, kMaxCount));
  section.ReportUnknownKeys();
  return guarantee;
}

WorkspaceSpec ReadWorkspace(ConfigSection& section) {
  WorkspaceSpec workspace;
  workspace.id = WorkspaceId(section.RequiredText("name"));
  workspace.quota =
      AcceleratorCount(static_cast<int>(section.RequiredNumber("quota", 0, kMaxCount)));
  int guaranteed = 0;
  for (ConfigSection& guarantee : section.Sections("guarantee")) {
    workspace.guarantees.push_back(ReadGuarantee(guarantee));
    guaranteed +=
        workspace.guarantees.back().shape.Total().value() * workspace.guarantees.back().count;
  }
  if (guaranteed > workspace.quota.value()) {
    section.Report("quota", fmt::format("is {}, less than the {} accelerators guaranteed",
                                        workspace.quota.value(), guaranteed));
  }
  section.ReportUnknownKeys();
  return workspace;
}

WorkerSpec ReadWorker(ConfigSection& section) {
  WorkerSpec worker;
  worker.id = WorkerId(section.RequiredText("name"));
  worker.zone = ZoneId(section.RequiredText("zone"));
  worker.rack = RackId(section.RequiredText("rack"));
  worker.address = section.RequiredAddress("address");
  worker.accelerators = AcceleratorCount(static_cast<int>(
      section.RequiredNumber("accelerators", 1, AcceleratorSet::kMaxWorkerAccelerators)));
  section.ReportUnknownKeys();
  return worker;
}

MinionSpec ReadMinion(ConfigSection& section) {
  MinionSpec minion;
  minion.id = MinionId(section.RequiredText("name"));
  minion.zone = ZoneId(section.RequiredText("zone"));
  minion.address = section.RequiredAddress("address");
  minion.slots = static_cast<int>(section.Number("slots", minion.slots, 1, kMaxSlots));
  minion.connections =
      static_cast<int>(section.Number("connections", minion.connections, 1, kMaxConnections));
  section.ReportUnknownKeys();
  return minion;
}

ServiceSpec ReadService(ConfigSection& section) {
  ServiceSpec service;
  service.id = ServiceId(section.RequiredText("name"));
  for (ConfigSection& minion : section.Sections("minion")) {
    service.minions.push_back(ReadMinion(minion));
  }
  section.ReportUnknownKeys();
  return service;
}

/// Reports duplicate names and undeclared zones.
class NameValidator {
 public:
  explicit NameValidator(ConfigSection& root) : m_root(root) {}

  void Declare(const std::string& kind, const std::string& name) {
    if (!m_names.insert(kind + "/" + name).second) {
      m_root.Report(kind, fmt::format("'{}' is declared twice", name));
    }
  }

  void RequireZone(const std::string& kind, const std::string& name, const ZoneId& zone) {
    if (!m_names.contains("zone/" + zone.text())) {
      m_root.Report(kind, fmt::format("'{}' names the zone '{}', which no [[zone]] declares", name,
                                      zone.text()));
    }
  }

 private:
  ConfigSection& m_root;
  std::set<std::string> m_names;
};

void CheckNames(const Bundle& bundle, ConfigSection& root) {
  NameValidator names(root);
  for (const ZoneSpec& zone : bundle.zones) {
    names.Declare("zone", zone.id.text());
  }
  for (const WorkspaceSpec& workspace : bundle.workspaces) {
    names.Declare("workspace", workspace.id.text());
  }
  for (const WorkerSpec& worker : bundle.workers) {
    names.Declare("worker", worker.id.text());
    names.RequireZone("worker", worker.id.text(), worker.zone);
  }
  for (const ServiceSpec& service : bundle.services) {
    names.Declare("service", service.id.text());
    for (const MinionSpec& minion : service.minions) {
      names.Declare("minion", minion.id.text());
      names.RequireZone("minion", minion.id.text(), minion.zone);
    }
  }
}

Bundle ReadBundle(ConfigSection& root) {
  Bundle bundle;
  ConfigSection policy = root.Section("policy");
  bundle.policy.name = policy.Text("name", bundle.policy.name);
  bundle.zone_loss = policy.Flag("accept_guarantees_lost_with_a_zone", false)
                         ? ZoneLossRule::kAccepted
                         : ZoneLossRule::kMustHold;
  policy.ReportUnknownKeys();
  for (ConfigSection& zone : root.Sections("zone")) {
    bundle.zones.push_back(ZoneSpec{ZoneId(zone.RequiredText("name"))});
    zone.ReportUnknownKeys();
  }
  for (ConfigSection& workspace : root.Sections("workspace")) {
    bundle.workspaces.push_back(ReadWorkspace(workspace));
  }
  for (ConfigSection& worker : root.Sections("worker")) {
    bundle.workers.push_back(ReadWorker(worker));
  }
  for (ConfigSection& service : root.Sections("service")) {
    bundle.services.push_back(ReadService(service));
  }
  if (bundle.zones.empty()) {
    root.Report("zone", "at least one [[zone]] is needed");
  }
  if (bundle.workspaces.empty()) {
    root.Report("workspace", "at least one [[workspace]] is needed");
  }
  return bundle;
}

}  // namespace

absl::StatusOr<Bundle> ParseBundle(const std::string& text, const std::string& file) {
  ConfigDocument document = TRY(ConfigDocument::Parse(text, file));
  ConfigSection root = document.root();
  Bundle bundle = ReadBundle(root);
  CheckNames(bundle, root);
  root.ReportUnknownKeys();
  TRY(document.status());
  return bundle;
}

}  // namespace papayalift
