#include "libraries/node/summary_metrics.h"

#include <fmt/format.h>

#include "libraries/model/job_names.h"

namespace papayalift {

namespace {

std::string ZoneLines(const ZoneSummary& zone) {
  const std::string label = fmt::format("{{zone=\"{}\"}}", zone.zone.text());
  return fmt::format(
      "papayalift_zone_in_service{0} {1}\npapayalift_accelerators{0} {2}\n"
      "papayalift_accelerators_free{0} {3}\n",
      label, zone.state == ZoneState::kIn ? 1 : 0, zone.accelerators.value(), zone.free.value());
}

std::string WorkspaceLines(const WorkspaceSummary& workspace) {
  const std::string label = fmt::format("{{workspace=\"{}\"}}", workspace.workspace.text());
  return fmt::format(
      "papayalift_workspace_guaranteed{0} {1}\npapayalift_workspace_used{0} {2}\n"
      "papayalift_workspace_borrowed{0} {3}\npapayalift_workspace_owed{0} {4}\n"
      "papayalift_workspace_waiting_jobs{0} {5}\n",
      label, workspace.guaranteed.value(), workspace.used.value(), workspace.borrowed.value(),
      workspace.owed.value(), workspace.waiting_jobs);
}

}  // namespace

std::string SummaryMetrics(const FleetView& view) {
  const FleetSummary summary = Summarize(view);
  std::string text = fmt::format(
      "papayalift_bundle_version {}\npapayalift_state_revision {}\n"
      "papayalift_gangs_placed {}\npapayalift_fragmentation {}\n",
      view.bundle == nullptr ? 0 : view.bundle->version.value(), view.revision.value(),
      view.placements.size(), summary.fragmentation);
  for (const auto& [state, count] : summary.jobs) {
    text += fmt::format("papayalift_jobs{{state=\"{}\"}} {}\n", JobStateText(state), count);
  }
  for (const ZoneSummary& zone : summary.zones) {
    text += ZoneLines(zone);
  }
  for (const WorkspaceSummary& workspace : summary.workspaces) {
    text += WorkspaceLines(workspace);
  }
  return text;
}

}  // namespace papayalift
