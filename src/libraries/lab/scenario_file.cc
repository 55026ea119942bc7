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

constexpr Milliseconds kInstant{0};
constexpr Milliseconds kShortest{1};
constexpr Milliseconds kLongest = std::chrono::hours(24 * 60);
constexpr int kMostZones = 64;
constexpr int kMostWorkers = 10'000;
constexpr int kMostAccelerators = 100'000;
constexpr int kMostCopies = 1'000;
constexpr int kMostJobs = 100'000;
constexpr double kMostPerDay = 1e6;
constexpr double kWidestSpread = 3.0;
constexpr double kLargestError = 100.0;
constexpr double kLargestWeight = 1e6;

int Count(ConfigSection& section, const std::string& key, int least, int most) {
  return static_cast<int>(section.RequiredNumber(key, least, most));
}

Milliseconds RequiredDuration(ConfigSection& section, const std::string& key, Milliseconds least) {
  if (!section.Has(key)) {
    section.Report(key, "is missing; it must be a duration with its unit, in quotes");
  }
  return section.Duration(key, least, least, kLongest);
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
  timing.length = RequiredDuration(section, "length", kShortest);
  timing.drain = RequiredDuration(section, "drain", kInstant);
  timing.pass_interval = RequiredDuration(section, "pass_interval", kShortest);
  timing.start_delay = RequiredDuration(section, "start_delay", kShortest);
  timing.report_lag = RequiredDuration(section, "report_lag", kInstant);
  timing.checkpoint_interval = RequiredDuration(section, "checkpoint_interval", kShortest);
  timing.checkpoint_failures = section.RealNumber("checkpoint_failures", 0.0, 0.0, 1.0);
  timing.stop_grace = RequiredDuration(section, "stop_grace", kShortest);
  timing.failure_time = RequiredDuration(section, "failure_time", kShortest);
  timing.canary_time = RequiredDuration(section, "canary_time", kShortest);
  timing.urgent_claim_limit = RequiredDuration(section, "urgent_claim_limit", kShortest);
  timing.claim_limit = RequiredDuration(section, "claim_limit", kShortest);
  timing.zone_settle = RequiredDuration(section, "zone_settle", kInstant);
  section.ReportUnknownKeys();
  return timing;
}

DeploymentPlan ReadDeployment(ConfigSection section) {
  DeploymentPlan plan;
  plan.regions = static_cast<int>(section.Number("regions", plan.regions, 1, kMostZones));
  plan.zones = Count(section, "zones", 1, kMostZones);
  plan.workers_per_rack = Count(section, "workers_per_rack", 1, kMostWorkers);
  for (ConfigSection& group : section.Sections("workers")) {
    plan.workers.push_back(WorkerGroup{
        Count(group, "count", 1, kMostWorkers),
        AcceleratorCount(Count(group, "accelerators", 1, AcceleratorSet::kMaxWorkerAccelerators))});
    group.ReportUnknownKeys();
  }
  if (plan.workers.empty()) {
    section.Report("workers", "at least one [[deployment.workers]] is needed");
  }
  if (plan.regions > plan.zones) {
    section.Report("regions", "is more than there are zones");
  }
  section.ReportUnknownKeys();
  return plan;
}

Guarantee ReadGuarantee(ConfigSection& section) {
  Guarantee guarantee;
  guarantee.shape = RequiredShape(section, "shape", section.RequiredText("shape"));
  guarantee.count = Count(section, "count", 1, kMostAccelerators);
  section.ReportUnknownKeys();
  return guarantee;
}

/// One table stands for `copies` workspaces, which are numbered from 1 where there are several.
void ReadWorkspaces(ConfigSection& section, std::vector<WorkspacePlan>& workspaces) {
  WorkspacePlan plan;
  const std::string name = section.RequiredText("name");
  const int copies = static_cast<int>(section.Number("copies", 1, 1, kMostCopies));
  plan.share = section.RealNumber("share", plan.share, 0.0, kLargestWeight);
  plan.spec.quota = AcceleratorCount(Count(section, "quota", 1, kMostAccelerators));
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
  job_class.jobs_per_day = section.RealNumber("jobs_per_day", 0.0, 0.0, kMostPerDay);
  job_class.bursts_per_day = section.RealNumber("bursts_per_day", 0.0, 0.0, kMostPerDay);
  job_class.jobs_per_burst = static_cast<int>(section.Number("jobs_per_burst", 0, 0, kMostJobs));
  job_class.run_time = RequiredDuration(section, "run_time", kShortest);
  job_class.run_time_spread = section.RealNumber("run_time_spread", 0.0, 0.0, kWidestSpread);
  job_class.declared_error = section.RealNumber("declared_error", 1.0, 1.0, kLargestError);
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
  change.out = RequiredDuration(section, "out", kInstant);
  change.back = RequiredDuration(section, "back", kInstant);
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
  wave.submit = RequiredDuration(section, "submit", kInstant);
  wave.cancel = RequiredDuration(section, "cancel", kInstant);
  wave.jobs = Count(section, "jobs", 1, kMostJobs);
  if (wave.cancel < wave.submit) {
    section.Report("cancel", "must not be earlier than 'submit'");
  }
  section.ReportUnknownKeys();
  return wave;
}

FailingWorkers ReadFailingWorkers(ConfigSection& section) {
  FailingWorkers failing;
  failing.count = Count(section, "count", 1, kMostWorkers);
  failing.from = RequiredDuration(section, "from", kInstant);
  failing.until = RequiredDuration(section, "until", kInstant);
  if (failing.until <= failing.from) {
    section.Report("until", "must be later than 'from'");
  }
  section.ReportUnknownKeys();
  return failing;
}

/// Reports names that nothing declares.
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
      m_root.Report(key, fmt::format("names the {}, which there is not; there are: {}", wanted,
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
