#include "libraries/lab/scenario_file.h"

#include <fmt/format.h>

#include <set>

#include "libraries/base/try.h"
#include "libraries/lab/deployment.h"
#include "libraries/lab/shape_text.h"
#include "libraries/model/accelerator_set.h"
#include "libraries/settings/config_document.h"

namespace papayalift {

namespace {

constexpr Milliseconds kZeroDuration{0};
constexpr Milliseconds kMinDuration{1};
constexpr Milliseconds kMaxDuration = std::chrono::hours(24 * 60);
constexpr int kMaxZones = 64;
constexpr int kMaxWorkers = 10'000;
constexpr int kMaxAccelerators = 100'000;
constexpr int kMaxCopies = 1'000;
constexpr int kMaxJobs = 100'000;
constexpr double kMaxPerDay = 1e6;
constexpr double kMaxRunTimeSpread = 3.0;
constexpr double kMaxDeclaredError = 100.0;
constexpr double kMaxShare = 1e6;

int Count(ConfigSection& section, const std::string& key, int minimum, int maximum) {
  return static_cast<int>(section.RequiredNumber(key, minimum, maximum));
}

Milliseconds RequiredDuration(ConfigSection& section, const std::string& key,
                              Milliseconds minimum) {
  if (!section.Has(key)) {
    section.Report(key, "is missing; must be a quoted duration with a unit");
  }
  return section.Duration(key, minimum, minimum, kMaxDuration);
}

Shape RequiredShape(ConfigSection& section, const std::string& key, const std::string& text) {
  const absl::StatusOr<Shape> shape = ParseShape(text);
  if (!shape.ok()) {
    section.Report(key, std::string(shape.status().message()));
    return Shape{};
  }
  return *shape;
}

RunTiming ReadTiming(ConfigSection section) {
  RunTiming timing;
  timing.length = RequiredDuration(section, "length", kMinDuration);
  timing.drain = RequiredDuration(section, "drain", kZeroDuration);
  timing.pass_interval = RequiredDuration(section, "pass_interval", kMinDuration);
  timing.start_delay = RequiredDuration(section, "start_delay", kMinDuration);
  timing.report_lag = RequiredDuration(section, "report_lag", kZeroDuration);
  timing.checkpoint_interval = RequiredDuration(section, "checkpoint_interval", kMinDuration);
  timing.checkpoint_failures = section.RealNumber("checkpoint_failures", 0.0, 0.0, 1.0);
  timing.stop_grace = RequiredDuration(section, "stop_grace", kMinDuration);
  timing.failure_time = RequiredDuration(section, "failure_time", kMinDuration);
  timing.canary_time = RequiredDuration(section, "canary_time", kMinDuration);
  timing.urgent_claim_limit = RequiredDuration(section, "urgent_claim_limit", kMinDuration);
  timing.claim_limit = RequiredDuration(section, "claim_limit", kMinDuration);
  timing.zone_settle = RequiredDuration(section, "zone_settle", kZeroDuration);
  section.ReportUnknownKeys();
  return timing;
}

DeploymentPlan ReadDeployment(ConfigSection section) {
  DeploymentPlan plan;
  plan.regions = static_cast<int>(section.Number("regions", plan.regions, 1, kMaxZones));
  plan.zones = Count(section, "zones", 1, kMaxZones);
  plan.workers_per_rack = Count(section, "workers_per_rack", 1, kMaxWorkers);
  for (ConfigSection& group : section.Sections("workers")) {
    plan.workers.push_back(WorkerGroup{
        Count(group, "count", 1, kMaxWorkers),
        AcceleratorCount(Count(group, "accelerators", 1, AcceleratorSet::kMaxWorkerAccelerators))});
    group.ReportUnknownKeys();
  }
  if (plan.workers.empty()) {
    section.Report("workers", "at least one [[deployment.workers]] is needed");
  }
  if (plan.regions > plan.zones) {
    section.Report("regions", "must not exceed the number of zones");
  }
  section.ReportUnknownKeys();
  return plan;
}

Guarantee ReadGuarantee(ConfigSection& section) {
  Guarantee guarantee;
  guarantee.shape = RequiredShape(section, "shape", section.RequiredText("shape"));
  guarantee.count = Count(section, "count", 1, kMaxAccelerators);
  section.ReportUnknownKeys();
  return guarantee;
}

/// A table declares `copies` workspaces; if there are several, their names are numbered from 1.
void ReadWorkspaces(ConfigSection& section, std::vector<WorkspacePlan>& workspaces) {
  WorkspacePlan plan;
  const std::string name = section.RequiredText("name");
  const int copies = static_cast<int>(section.Number("copies", 1, 1, kMaxCopies));
  plan.share = section.RealNumber("share", plan.share, 0.0, kMaxShare);
  plan.spec.quota = AcceleratorCount(Count(section, "quota", 1, kMaxAccelerators));
  for (ConfigSection& guarantee : section.Sections("guarantee")) {
    plan.spec.guarantees.push_back(ReadGuarantee(guarantee));
  }
  section.ReportUnknownKeys();
  for (int copy = 1; copy <= copies; ++copy) {
    plan.spec.id = WorkspaceId(copies == 1 ? name : fmt::format("{}-{}", name, copy));
    workspaces.push_back(plan);
  }
}

JobClass ReadClass(ConfigSection& section) {
  JobClass job_class;
  job_class.name = section.RequiredText("name");
  for (const std::string& text : section.Texts("shapes")) {
    job_class.shapes.push_back(RequiredShape(section, "shapes", text));
  }
  if (job_class.shapes.empty()) {
    section.Report("shapes", "at least one shape is needed, such as \"8x2\"");
  }
  job_class.jobs_per_day = section.RealNumber("jobs_per_day", 0.0, 0.0, kMaxPerDay);
  job_class.bursts_per_day = section.RealNumber("bursts_per_day", 0.0, 0.0, kMaxPerDay);
  job_class.jobs_per_burst = static_cast<int>(section.Number("jobs_per_burst", 0, 0, kMaxJobs));
  job_class.run_time = RequiredDuration(section, "run_time", kMinDuration);
  job_class.run_time_spread = section.RealNumber("run_time_spread", 0.0, 0.0, kMaxRunTimeSpread);
  job_class.declared_error = section.RealNumber("declared_error", 1.0, 1.0, kMaxDeclaredError);
  job_class.never_share = section.RealNumber("never_share", 0.0, 0.0, 1.0);
  job_class.urgent_share = section.RealNumber("urgent_share", 0.0, 0.0, 1.0);
  for (const std::string& workspace : section.Texts("workspaces")) {
    job_class.workspaces.push_back(WorkspaceId(workspace));
  }
  section.ReportUnknownKeys();
  return job_class;
}

ZoneChange ReadZoneChange(ConfigSection& section) {
  ZoneChange change;
  change.zone = ZoneId(section.RequiredText("zone"));
  change.out = RequiredDuration(section, "out", kZeroDuration);
  change.back = RequiredDuration(section, "back", kZeroDuration);
  if (change.back <= change.out) {
    section.Report("back", "must be later than 'out'");
  }
  section.ReportUnknownKeys();
  return change;
}

CancellationWave ReadWave(ConfigSection& section) {
  CancellationWave wave;
  wave.job_class = section.RequiredText("class");
  wave.workspace = WorkspaceId(section.RequiredText("workspace"));
  wave.submit = RequiredDuration(section, "submit", kZeroDuration);
  wave.cancel = RequiredDuration(section, "cancel", kZeroDuration);
  wave.jobs = Count(section, "jobs", 1, kMaxJobs);
  if (wave.cancel < wave.submit) {
    section.Report("cancel", "must not be earlier than 'submit'");
  }
  section.ReportUnknownKeys();
  return wave;
}

FailingWorkers ReadFailingWorkers(ConfigSection& section) {
  FailingWorkers failing;
  failing.count = Count(section, "count", 1, kMaxWorkers);
  failing.from = RequiredDuration(section, "from", kZeroDuration);
  failing.until = RequiredDuration(section, "until", kZeroDuration);
  if (failing.until <= failing.from) {
    section.Report("until", "must be later than 'from'");
  }
  section.ReportUnknownKeys();
  return failing;
}

/// Reports references to undeclared names.
class NameCheck {
 public:
  NameCheck(const Scenario& scenario, ConfigSection& root) : m_root(root) {
    for (const ZoneId& zone : ZonesOf(scenario.deployment)) {
      m_names.insert("zone '" + zone.text() + "'");
    }
    for (const WorkspacePlan& plan : scenario.workspaces) {
      m_names.insert("workspace '" + plan.spec.id.text() + "'");
    }
    for (const JobClass& job_class : scenario.classes) {
      m_names.insert("class '" + job_class.name + "'");
    }
  }

  void Require(const std::string& key, const std::string& kind, const std::string& name) {
    const std::string wanted = fmt::format("{} '{}'", kind, name);
    if (!m_names.contains(wanted)) {
      m_root.Report(key, fmt::format("refers to unknown {}; declared names: {}", wanted,
                                     fmt::join(m_names, ", ")));
    }
  }

 private:
  ConfigSection& m_root;
  std::set<std::string> m_names;
};

void CheckNames(const Scenario& scenario, ConfigSection& root) {
  NameCheck names(scenario, root);
  for (const ZoneChange& change : scenario.zone_changes) {
    names.Require("zone_change", "zone", change.zone.text());
  }
  for (const CancellationWave& wave : scenario.cancellation_waves) {
    names.Require("cancellation_wave", "class", wave.job_class);
    names.Require("cancellation_wave", "workspace", wave.workspace.text());
  }
  for (const JobClass& job_class : scenario.classes) {
    for (const WorkspaceId& workspace : job_class.workspaces) {
      names.Require("class", "workspace", workspace.text());
    }
  }
}

Scenario ReadScenario(ConfigSection& root) {
  Scenario scenario;
  scenario.name = root.RequiredText("name");
  scenario.timing = ReadTiming(root.Section("timing"));
  scenario.deployment = ReadDeployment(root.Section("deployment"));
  for (ConfigSection& workspace : root.Sections("workspace")) {
    ReadWorkspaces(workspace, scenario.workspaces);
  }
  for (ConfigSection& job_class : root.Sections("class")) {
    scenario.classes.push_back(ReadClass(job_class));
  }
  for (ConfigSection& change : root.Sections("zone_change")) {
    scenario.zone_changes.push_back(ReadZoneChange(change));
  }
  for (ConfigSection& wave : root.Sections("cancellation_wave")) {
    scenario.cancellation_waves.push_back(ReadWave(wave));
  }
  for (ConfigSection& failing : root.Sections("failing_workers")) {
    scenario.failing_workers.push_back(ReadFailingWorkers(failing));
  }
  if (scenario.workspaces.empty()) {
    root.Report("workspace", "at least one [[workspace]] is needed");
  }
  if (scenario.classes.empty()) {
    root.Report("class", "at least one [[class]] is needed");
  }
  return scenario;
}

}  // namespace

absl::StatusOr<Scenario> ParseScenario(const std::string& text, const std::string& file) {
  ConfigDocument document = TRY(ConfigDocument::Parse(text, file));
  ConfigSection root = document.root();
  Scenario scenario = ReadScenario(root);
  CheckNames(scenario, root);
  root.ReportUnknownKeys();
  TRY(document.status());
  return scenario;
}

}  // namespace papayalift
