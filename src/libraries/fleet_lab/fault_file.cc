#include "libraries/fleet_lab/fault_file.h"

#include <algorithm>
#include <array>
#include <optional>

#include "libraries/base/enum_names.h"
#include "libraries/base/try.h"
#include "libraries/settings/config_document.h"
#include "stand_ins/control/fault_names.h"

namespace papayalift {

namespace {

constexpr int kMaxCallsPerSecond = 5'000;
constexpr int kMaxCallers = 64;
constexpr int kMaxRepeats = 500;
constexpr int kMaxTargets = 1'000;
constexpr int kMaxRequests = 1'000'000;
constexpr int kMaxGangSize = 64;
constexpr double kMaxJobsPerSecond = 20.0;
constexpr Milliseconds kMaxStepDuration{600'000};

constexpr std::array<EnumName<FaultAction>, 16> kActionNames{{
    {FaultAction::kKill, "kill"},
    {FaultAction::kFreeze, "freeze"},
    {FaultAction::kGracefulStop, "graceful-stop"},
    {FaultAction::kLink, "link"},
    {FaultAction::kStoreAway, "store-away"},
    {FaultAction::kBreakWatches, "break-watches"},
    {FaultAction::kCompact, "compact"},
    {FaultAction::kConduct, "conduct"},
    {FaultAction::kForget, "forget"},
    {FaultAction::kZoneOut, "zone-out"},
    {FaultAction::kZoneRace, "zone-race"},
    {FaultAction::kBundleRace, "bundle-race"},
    {FaultAction::kRetire, "retire"},
    {FaultAction::kCallStorm, "call-storm"},
    {FaultAction::kCancelStorm, "cancel-storm"},
    {FaultAction::kReclaim, "reclaim"},
}};

bool NeedsTargets(FaultAction action) {
  constexpr std::array<FaultAction, 7> kWithTargets{
      FaultAction::kKill,    FaultAction::kFreeze, FaultAction::kGracefulStop, FaultAction::kLink,
      FaultAction::kConduct, FaultAction::kForget, FaultAction::kRetire};
  return std::find(kWithTargets.begin(), kWithTargets.end(), action) != kWithTargets.end();
}

bool NeedsZone(FaultAction action) {
  return action == FaultAction::kZoneOut || action == FaultAction::kZoneRace;
}

void ReadLoad(ConfigSection load, LoadSpec& spec) {
  spec.calls_per_second = static_cast<int>(
      load.Number("calls_per_second", spec.calls_per_second, 0, kMaxCallsPerSecond));
  spec.callers = static_cast<int>(load.Number("callers", spec.callers, 1, kMaxCallers));
  spec.idempotent_share = load.RealNumber("idempotent_share", spec.idempotent_share, 0.0, 1.0);
  spec.call_limit =
      load.Duration("call_limit", spec.call_limit, Milliseconds(100), Milliseconds(10'000));
  spec.service = load.Text("service", spec.service);
  spec.jobs_per_second =
      load.RealNumber("jobs_per_second", spec.jobs_per_second, 0.0, kMaxJobsPerSecond);
  spec.largest_gang =
      static_cast<int>(load.Number("largest_gang", spec.largest_gang, 1, kMaxGangSize));
  spec.longest_job =
      load.Duration("longest_job", spec.longest_job, Milliseconds(100), Milliseconds(60'000));
  load.ReportUnknownKeys();
}

void ReadRule(ConfigSection& step, FaultRule& rule) {
  const std::string effect = step.Text("effect", "drop");
  const std::optional<FaultKind> kind = FaultKindFromText(effect);
  if (!kind.has_value()) {
    step.Report("effect", "unknown effect '" + effect + "'");
  }
  rule.kind = kind.value_or(FaultKind::kDrop);
  rule.path = step.Text("path", "/");
  rule.probability = step.RealNumber("probability", 1.0, 0.0, 1.0);
  rule.count = static_cast<int>(step.Number("requests", 0, 0, kMaxRequests));
  rule.delay = step.Duration("delay", Milliseconds(0), Milliseconds(0), kMaxStepDuration);
}

void ReadConduct(ConfigSection& step, ConductOrder& conduct) {
  const std::string word = step.Text("conduct", "normal");
  const std::optional<Conduct> known = ConductFromText(word);
  if (!known.has_value()) {
    step.Report("conduct", "unknown conduct '" + word + "'");
  }
  conduct.conduct = known.value_or(Conduct::kNormal);
  conduct.report_lag =
      step.Duration("report_lag", Milliseconds(0), Milliseconds(0), kMaxStepDuration);
  conduct.work = step.Duration("work", conduct.work, Milliseconds(0), kMaxStepDuration);
}

FaultStep ReadStep(ConfigSection step) {
  FaultStep result;
  const std::string action = step.RequiredText("kind");
  const std::optional<FaultAction> known = EnumFromText(kActionNames, action);
  if (!known.has_value()) {
    step.Report("kind", "unknown kind of fault '" + action + "'");
  }
  result.action = known.value_or(FaultAction::kCompact);
  result.at = step.Duration("at", Milliseconds(0), Milliseconds(0), kMaxStepDuration);
  result.duration = step.Duration("for", Milliseconds(0), Milliseconds(0), kMaxStepDuration);
  if (NeedsTargets(result.action)) {
    result.targets = step.Texts("targets");
    result.count = static_cast<int>(step.Number("count", 0, 0, kMaxTargets));
    if (result.targets.empty()) {
      step.Report("targets", "missing; this kind of fault requires targets");
    }
  }
  if (NeedsZone(result.action)) {
    result.zone = ZoneId(step.RequiredText("zone"));
  }
  if (result.action == FaultAction::kLink || result.action == FaultAction::kStoreAway) {
    ReadRule(step, result.rule);
  }
  if (result.action == FaultAction::kConduct) {
    ReadConduct(step, result.conduct);
  }
  result.calls_per_second =
      static_cast<int>(step.Number("calls_per_second", 0, 0, kMaxCallsPerSecond));
  result.repeats = static_cast<int>(step.Number("repeats", 1, 1, kMaxRepeats));
  step.ReportUnknownKeys();
  return result;
}

}  // namespace

absl::StatusOr<FaultFile> ParseFaultFile(const std::string& text, const std::string& file) {
  ConfigDocument document = TRY(ConfigDocument::Parse(text, file));
  ConfigSection root = document.root();
  FaultFile faults;
  ReadLoad(root.Section("load"), faults.load);
  for (const ConfigSection& step : root.Sections("fault")) {
    faults.steps.push_back(ReadStep(step));
  }
  root.ReportUnknownKeys();
  TRY(document.status());
  std::stable_sort(faults.steps.begin(), faults.steps.end(),
                   [](const FaultStep& a, const FaultStep& b) { return a.at < b.at; });
  return faults;
}

}  // namespace papayalift
