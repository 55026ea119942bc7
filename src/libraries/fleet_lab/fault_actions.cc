#include "libraries/fleet_lab/fault_actions.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "libraries/base/try.h"

namespace papayalift {

namespace {

constexpr char kFirstOperator[] = "ana";
constexpr char kSecondOperator[] = "ben";
constexpr int kMaxChangeAttempts = 20;
constexpr Milliseconds kChangeRetryInterval{500};
constexpr Milliseconds kLongJobDuration{60'000};
constexpr Milliseconds kDelayBeforeCancel{1'500};
constexpr Milliseconds kBorrowDuration{4'000};

FaultOrder NoFaults() { return FaultOrder{}; }

}  // namespace

FaultActions::FaultActions(LabContext& context, CallLoad& calls, JobLoad& jobs)
    : m_context(context), m_calls(calls), m_jobs(jobs), m_random(context.seed) {}

absl::Status FaultActions::Begin(std::size_t index, const FaultStep& step) {
  std::vector<std::string> names = m_context.fleet.Matching(step.targets);
  std::shuffle(names.begin(), names.end(), m_random);
  if (step.count > 0 && names.size() > static_cast<std::size_t>(step.count)) {
    names.resize(static_cast<std::size_t>(step.count));
  }
  m_picked[index] = names;
  FaultStep picked = step;
  picked.targets = names;
  return (this->*ActionOf(step.action))(picked);
}

absl::Status FaultActions::End(std::size_t index, const FaultStep& step) {
  FaultStep picked = step;
  picked.targets = m_picked[index];
  return (this->*UndoActionOf(step.action))(picked);
}

FaultActions::Action FaultActions::ActionOf(FaultAction action) {
  switch (action) {
    case FaultAction::kKill:
      return &FaultActions::Kill;
    case FaultAction::kFreeze:
      return &FaultActions::Freeze;
    case FaultAction::kGracefulStop:
      return &FaultActions::StopGracefully;
    case FaultAction::kLink:
      return &FaultActions::InjectLinkFaults;
    case FaultAction::kStoreAway:
      return &FaultActions::TakeStoreAway;
    case FaultAction::kBreakWatches:
      return &FaultActions::BreakWatches;
    case FaultAction::kCompact:
      return &FaultActions::Compact;
    case FaultAction::kConduct:
      return &FaultActions::ChangeConduct;
    case FaultAction::kForget:
      return &FaultActions::Forget;
    case FaultAction::kZoneOut:
      return &FaultActions::TakeZoneOut;
    case FaultAction::kZoneRace:
      return &FaultActions::RaceZones;
    case FaultAction::kBundleRace:
      return &FaultActions::RaceBundles;
    case FaultAction::kRetire:
      return &FaultActions::Retire;
    case FaultAction::kCallStorm:
      return &FaultActions::StartCallStorm;
    case FaultAction::kCancelStorm:
      return &FaultActions::StormOfCancellations;
    case FaultAction::kReclaim:
      return &FaultActions::Reclaim;
  }
  return &FaultActions::Nothing;
}

FaultActions::Action FaultActions::UndoActionOf(FaultAction action) {
  switch (action) {
    case FaultAction::kFreeze:
      return &FaultActions::Unfreeze;
    case FaultAction::kLink:
      return &FaultActions::ClearLinkFaults;
    case FaultAction::kStoreAway:
      return &FaultActions::BringStoreBack;
    case FaultAction::kConduct:
      return &FaultActions::RestoreConduct;
    case FaultAction::kZoneOut:
      return &FaultActions::BringZoneBack;
    case FaultAction::kRetire:
      return &FaultActions::EndRetirement;
    case FaultAction::kCallStorm:
      return &FaultActions::EndCallStorm;
    default:
      return &FaultActions::Nothing;
  }
}

absl::Status FaultActions::Nothing(const FaultStep& /*step*/) { return absl::OkStatus(); }

absl::Status FaultActions::ForEachTarget(
    const FaultStep& step, const std::function<absl::Status(const std::string&)>& act) const {
  if (step.targets.empty()) {
    return absl::NotFoundError("no process of the fleet matches the targets");
  }
  absl::Status first_failure;
  for (const std::string& name : step.targets) {
    first_failure.Update(act(name));
  }
  return first_failure;
}

bool FaultActions::IsNode(const std::string& name) const {
  const std::vector<FleetNode>& nodes = m_context.fleet.nodes();
  return std::any_of(nodes.begin(), nodes.end(),
                     [&name](const FleetNode& node) { return node.id.text() == name; });
}

absl::Status FaultActions::Kill(const FaultStep& step) {
  return ForEachTarget(step, [this](const std::string& name) {
    if (IsNode(name)) {
      const NodeWindow down{NodeId(name), TimeWindow{m_context.clock.Now()}};
      m_context.log.Add(&Observations::nodes_down, down);
      m_context.log.Add(&Observations::nodes_killed, down);
    }
    return m_context.fleet.Signal(name, SIGKILL);
  });
}

absl::Status FaultActions::Freeze(const FaultStep& step) {
  return ForEachTarget(step, [this, &step](const std::string& name) {
    if (IsNode(name)) {
      const Milliseconds now = m_context.clock.Now();
      m_context.log.Add(&Observations::nodes_down,
                        NodeWindow{NodeId(name), TimeWindow{now, now + step.duration}});
    }
    return m_context.fleet.Signal(name, SIGSTOP);
  });
}

absl::Status FaultActions::Unfreeze(const FaultStep& step) {
  return ForEachTarget(
      step, [this](const std::string& name) { return m_context.fleet.Signal(name, SIGCONT); });
}

absl::Status FaultActions::StopGracefully(const FaultStep& step) {
  return ForEachTarget(step, [this](const std::string& name) {
    m_context.log.Add(&Observations::graceful_stops,
                      GracefulStop{NodeId(name), TimeWindow{m_context.clock.Now()}});
    return m_context.fleet.Signal(name, SIGTERM);
  });
}

absl::Status FaultActions::InjectLinkFaults(const FaultStep& step) {
  return ForEachTarget(step, [this, &step](const std::string& name) {
    return m_context.controls.SetFaults(name, FaultOrder{{step.rule}, m_random()});
  });
}

absl::Status FaultActions::ClearLinkFaults(const FaultStep& step) {
  return ForEachTarget(step, [this](const std::string& name) {
    return m_context.controls.SetFaults(name, NoFaults());
  });
}

absl::Status FaultActions::TakeStoreAway(const FaultStep& step) {
  m_context.log.RecordStoreAway(m_context.clock.Now());
  TRY(m_context.controls.SetFaults("platform", FaultOrder{{step.rule}, m_random()}));
  return m_context.controls.BreakWatches();
}

absl::Status FaultActions::BringStoreBack(const FaultStep& /*step*/) {
  absl::Status back = m_context.controls.SetFaults("platform", NoFaults());
  m_context.log.RecordStoreBack(m_context.clock.Now());
  return back;
}

absl::Status FaultActions::BreakWatches(const FaultStep& /*step*/) {
  return m_context.controls.BreakWatches();
}

absl::Status FaultActions::Compact(const FaultStep& /*step*/) {
  return m_context.controls.Compact();
}

absl::Status FaultActions::ChangeConduct(const FaultStep& step) {
  return ForEachTarget(step, [this, &step](const std::string& name) {
    return m_context.controls.SetConduct(name, step.conduct);
  });
}

absl::Status FaultActions::RestoreConduct(const FaultStep& step) {
  return ForEachTarget(step, [this](const std::string& name) {
    return m_context.controls.SetConduct(name, ConductOrder{});
  });
}

absl::Status FaultActions::Forget(const FaultStep& step) {
  return ForEachTarget(step,
                       [this](const std::string& name) { return m_context.controls.Forget(name); });
}

absl::Status FaultActions::ChangeZone(const ZoneId& zone, const std::string& state) {
  for (int tries = 0; tries < kMaxChangeAttempts; ++tries) {
    const OperatorChange change =
        FleetApi::ZoneChangeOf(m_context.node_health.Pick(), kFirstOperator, zone, state);
    if (m_context.api.Change({change}).front()) {
      return absl::OkStatus();
    }
    m_context.stop.WaitFor(kChangeRetryInterval);
  }
  return absl::UnavailableError(fmt::format("zone {} was not taken {}", zone.text(), state));
}

absl::Status FaultActions::TakeZoneOut(const FaultStep& step) {
  TRY(ChangeZone(step.zone, "out"));
  m_context.log.RecordZoneOut(step.zone, m_context.clock.Now());
  return absl::OkStatus();
}

absl::Status FaultActions::BringZoneBack(const FaultStep& step) {
  m_context.log.RecordZoneBack(step.zone, m_context.clock.Now());
  return ChangeZone(step.zone, "in");
}

absl::Status FaultActions::RaceZones(const FaultStep& step) {
  for (int round = 0; round < step.repeats; ++round) {
    m_context.api.Change(
        {FleetApi::ZoneChangeOf(m_context.node_health.Pick(), kFirstOperator, step.zone, "out"),
         FleetApi::ZoneChangeOf(m_context.node_health.Pick(), kSecondOperator, step.zone, "in")});
    const absl::StatusOr<std::vector<ZoneId>> out =
        m_context.api.ZonesOut(m_context.node_health.Pick());
    if (out.ok() && std::find(out->begin(), out->end(), step.zone) != out->end()) {
      m_context.log.RecordZoneOut(step.zone, m_context.clock.Now());
      m_context.stop.WaitFor(kChangeRetryInterval);
    }
    m_context.log.RecordZoneBack(step.zone, m_context.clock.Now());
  }
  return ChangeZone(step.zone, "in");
}

absl::StatusOr<BundleRecord> FaultActions::SignedOff(const std::string& operator_name,
                                                     const std::string& text) {
  const FleetNode node = m_context.node_health.Pick();
  BundleRecord record = TRY(m_context.api.SubmitBundle(node, operator_name, text));
  TRY(m_context.api.SignOff(node, operator_name, record));
  return record;
}

absl::Status FaultActions::RaceBundles(const FaultStep& step) {
  const std::string& text = m_context.fleet.bundle_text();
  for (int round = 0; round < step.repeats; ++round) {
    const std::int64_t number = ++m_bundles_written;
    const BundleRecord first = TRY(
        SignedOff(kFirstOperator, fmt::format("{}\n# {} a{}\n", text, m_context.run_name, number)));
    const BundleRecord second = TRY(SignedOff(
        kSecondOperator, fmt::format("{}\n# {} b{}\n", text, m_context.run_name, number)));
    const BundleVersion seen = TRY(m_context.api.CurrentBundle(m_context.node_health.Pick()));
    const std::vector<bool> accepted = m_context.api.Change(
        {FleetApi::RollOf(m_context.node_health.Pick(), kFirstOperator, first.version, seen),
         FleetApi::RollOf(m_context.node_health.Pick(), kSecondOperator, second.version, seen)});
    const Milliseconds now = m_context.clock.Now();
    if (accepted[0]) {
      m_context.log.Add(&Observations::rolls, BundleRoll{first.version, now});
    }
    if (accepted[1]) {
      m_context.log.Add(&Observations::rolls, BundleRoll{second.version, now});
    }
  }
  return absl::OkStatus();
}

absl::Status FaultActions::RollBundle(const std::string& text) {
  const BundleRecord record = TRY(SignedOff(
      kFirstOperator, fmt::format("{}\n# {} {}\n", text, m_context.run_name, ++m_bundles_written)));
  const FleetNode node = m_context.node_health.Pick();
  const BundleVersion seen = TRY(m_context.api.CurrentBundle(node));
  const OperatorChange change = FleetApi::RollOf(node, kFirstOperator, record.version, seen);
  if (!m_context.api.Change({change}).front()) {
    return absl::UnavailableError(fmt::format("bundle {} was not rolled", record.version.value()));
  }
  m_context.log.Add(&Observations::rolls, BundleRoll{record.version, m_context.clock.Now()});
  return absl::OkStatus();
}

absl::Status FaultActions::PrepareBundle() {
  const BundleVersion current = TRY(m_context.api.CurrentBundle(m_context.node_health.Pick()));
  return current > BundleVersion(0) ? absl::OkStatus() : RollBundle(m_context.fleet.bundle_text());
}

std::string FaultActions::BundleWithout(const std::vector<std::string>& targets) const {
  // Tables are separated by empty lines, so a target's table is the block that contains its name.
  const std::string& text = m_context.fleet.bundle_text();
  std::string kept;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t gap = text.find("\n\n", start);
    const std::size_t end = gap == std::string::npos ? text.size() : gap + 2;
    const std::string block = text.substr(start, end - start);
    const bool leaves =
        std::any_of(targets.begin(), targets.end(), [&block](const std::string& target) {
          return block.find(fmt::format("\"{}\"", target)) != std::string::npos;
        });
    if (!leaves) {
      kept += block;
    }
    start = end;
  }
  return kept;
}

absl::Status FaultActions::Retire(const FaultStep& step) {
  TRY(RollBundle(BundleWithout(step.targets)));
  return ForEachTarget(step, [this](const std::string& name) {
    m_context.log.RecordTargetRetired(name, m_context.clock.Now());
    return absl::OkStatus();
  });
}

absl::Status FaultActions::EndRetirement(const FaultStep& step) {
  for (const std::string& name : step.targets) {
    m_context.log.RecordTargetBack(name, m_context.clock.Now());
  }
  return RollBundle(m_context.fleet.bundle_text());
}

absl::Status FaultActions::StartCallStorm(const FaultStep& step) {
  m_calls.SetRate(step.calls_per_second);
  return absl::OkStatus();
}

absl::Status FaultActions::EndCallStorm(const FaultStep& /*step*/) {
  m_calls.SetRate(m_calls.usual_rate());
  return absl::OkStatus();
}

absl::Status FaultActions::StormOfCancellations(const FaultStep& step) {
  std::vector<JobId> jobs;
  const WorkspaceId workspace = m_context.fleet.bundle().workspaces.front().id;
  for (int index = 0; index < step.repeats; ++index) {
    const JobSpec spec = m_jobs.MakeSpec(
        "cancel", workspace, Shape{TaskCount(1), AcceleratorCount(1)}, kLongJobDuration);
    jobs.push_back(m_jobs.Submit(spec).id);
  }
  m_context.stop.WaitFor(kDelayBeforeCancel);
  m_context.api.CancelAll(m_context.fleet.nodes(), jobs);
  return absl::OkStatus();
}

absl::Status FaultActions::Reclaim(const FaultStep& step) {
  const std::vector<WorkspaceSpec>& workspaces = m_context.fleet.bundle().workspaces;
  std::vector<JobId> borrowers;
  for (int index = 0; index < step.repeats; ++index) {
    const JobSpec spec =
        m_jobs.MakeSpec("borrow", workspaces.front().id, Shape{TaskCount(1), AcceleratorCount(8)},
                        kLongJobDuration);
    borrowers.push_back(m_jobs.Submit(spec).id);
  }
  m_context.stop.WaitFor(kBorrowDuration);
  for (std::size_t index = 1; index < workspaces.size(); ++index) {
    for (const Guarantee& guarantee : workspaces[index].guarantees) {
      const JobSpec spec =
          m_jobs.MakeSpec("guaranteed", workspaces[index].id, guarantee.shape, Milliseconds(500));
      const JobObservation seen = m_jobs.Submit(spec);
      if (seen.submit == SubmitResult::kAccepted) {
        m_context.log.Add(&Observations::probes,
                          GuaranteeProbe{seen.id, seen.submitted_at, Milliseconds(0)});
      }
    }
  }
  m_context.stop.WaitFor(step.duration);
  m_context.api.CancelAll(m_context.fleet.nodes(), borrowers);
  return absl::OkStatus();
}

void FaultActions::RestoreAll() {
  for (const auto& [name, zone] : m_context.fleet.Zones()) {
    static_cast<void>(m_context.fleet.Signal(name, SIGCONT));
    static_cast<void>(m_context.controls.SetFaults(name, NoFaults()));
    static_cast<void>(m_context.controls.SetConduct(name, ConductOrder{}));
  }
  for (const FleetNode& node : m_context.fleet.nodes()) {
    static_cast<void>(m_context.fleet.Signal(node.id.text(), SIGCONT));
  }
  static_cast<void>(m_context.controls.SetFaults("platform", NoFaults()));
  m_context.log.RecordStoreBack(m_context.clock.Now());
  const absl::StatusOr<std::vector<ZoneId>> out =
      m_context.api.ZonesOut(m_context.node_health.Pick());
  for (const ZoneId& zone : out.value_or(std::vector<ZoneId>{})) {
    m_context.log.RecordZoneBack(zone, m_context.clock.Now());
    static_cast<void>(ChangeZone(zone, "in"));
  }
}

}  // namespace papayalift
