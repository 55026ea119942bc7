#include "libraries/node/status_page.h"

#include <fmt/format.h>

namespace papayalift {

namespace {

constexpr char kHead[] = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>papayalift</title>
<style>
body { font: 16px/1.4 sans-serif; margin: 0 auto; max-width: 60rem; padding: 0.8rem; color: #222; }
h1 { font-size: 1.4rem; } h2 { font-size: 1.1rem; margin: 1.4rem 0 0.4rem; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 0.25rem 0.6rem; border-bottom: 1px solid #ddd; }
td.number, th.number { text-align: right; }
.out { color: #b00020; font-weight: bold; }
.rack { display: inline-block; margin: 0 0.8rem 0.6rem 0; vertical-align: top; }
.worker { display: flex; margin: 2px 0; }
.cell { width: 0.7rem; height: 0.7rem; margin-right: 1px; background: #d8e8d8; }
.held { background: #35618f; }
</style></head><body>
)";

std::string ZoneTableHtml(const FleetSummary& summary) {
  std::string rows;
  for (const ZoneSummary& zone : summary.zones) {
    const bool in = zone.state == ZoneState::kIn;
    rows += fmt::format(
        "<tr><td>{}</td><td class=\"{}\">{}</td><td class=\"number\">{}</td>"
        "<td class=\"number\">{}</td></tr>\n",
        EscapeHtml(zone.zone.text()), in ? "in" : "out", in ? "in service" : "out",
        zone.accelerators.value(), zone.free.value());
  }
  return fmt::format(
      "<h2>Zones</h2><div class=\"scroll\"><table><tr><th>zone</th><th>state</th>"
      "<th class=\"number\">accelerators</th><th class=\"number\">free</th></tr>\n{}</table></div>"
      "<p>Fragmentation: {:.0f} % of the free accelerators can't serve the largest guaranteed "
      "shape.</p>\n",
      rows, summary.fragmentation * 100);
}

std::string WorkspaceTableHtml(const FleetSummary& summary) {
  std::string rows;
  for (const WorkspaceSummary& workspace : summary.workspaces) {
    rows += fmt::format(
        "<tr><td>{}</td><td class=\"number\">{}</td><td class=\"number\">{}</td>"
        "<td class=\"number\">{}</td><td class=\"number\">{}</td><td class=\"number\">{}</td>"
        "</tr>\n",
        EscapeHtml(workspace.workspace.text()), workspace.guaranteed.value(),
        workspace.used.value(), workspace.borrowed.value(), workspace.owed.value(),
        workspace.quota.value());
  }
  return fmt::format(
      "<h2>Workspaces</h2><div class=\"scroll\"><table><tr><th>workspace</th>"
      "<th class=\"number\">guaranteed</th><th class=\"number\">used</th>"
      "<th class=\"number\">borrowed</th><th class=\"number\">owed</th>"
      "<th class=\"number\">quota</th></tr>\n{}</table></div>\n",
      rows);
}

std::string QueueHtml(const StatusPageContent& content) {
  std::string rows;
  for (const QueuedJob& queued : content.queue) {
    rows += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}x{}</td><td>{}</td></tr>\n",
        EscapeHtml(queued.job.spec.key.text()), EscapeHtml(queued.job.spec.workspace.text()),
        queued.job.spec.shape.tasks.value(), queued.job.spec.shape.accelerators_per_task.value(),
        EscapeHtml(queued.reason));
  }
  return fmt::format(
      "<h2>Queue: {} jobs waiting, first {} shown</h2><div class=\"scroll\"><table><tr>"
      "<th>job</th><th>workspace</th><th>gang</th><th>reason</th></tr>\n{}</table></div>\n",
      content.jobs_waiting, content.queue.size(), rows);
}

std::string WorkerHtml(const WorkerSummary& worker) {
  std::string cells;
  for (int position = 0; position < worker.all.Count().value(); ++position) {
    const bool free = worker.free.Contains(AcceleratorSet::RunAt(position, AcceleratorCount(1)));
    cells += fmt::format("<span class=\"cell{}\"></span>", free ? "" : " held");
  }
  return fmt::format("<div class=\"worker\" title=\"{}\">{}</div>", EscapeHtml(worker.id.text()),
                     cells);
}

std::string RackMapHtml(const FleetSummary& summary) {
  std::string racks;
  for (const RackSummary& rack : summary.racks) {
    std::string workers;
    for (const WorkerSummary& worker : rack.workers) {
      workers += WorkerHtml(worker);
    }
    racks += fmt::format("<div class=\"rack\">{} {}\n{}</div>\n", EscapeHtml(rack.zone.text()),
                         EscapeHtml(rack.rack.text()), workers);
  }
  return fmt::format("<h2>Racks: one row per worker, held accelerators dark</h2>\n<div>{}</div>\n",
                     racks);
}

std::string AuditHtml(const std::vector<AuditEntry>& audit) {
  std::string rows;
  for (auto entry = audit.rbegin(); entry != audit.rend(); ++entry) {
    rows += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
                        EscapeHtml(entry->action), EscapeHtml(entry->actor),
                        EscapeHtml(entry->subject), EscapeHtml(entry->reason));
  }
  return fmt::format(
      "<h2>Latest changes</h2><div class=\"scroll\"><table><tr><th>what</th><th>who</th>"
      "<th>record</th><th>why</th></tr>\n{}</table></div>\n",
      rows);
}

}  // namespace

std::string RenderStatusPage(const StatusPageContent& content) {
  std::string page = kHead;
  page += fmt::format("<h1>papayalift, node {}, bundle version {}</h1>\n",
                      EscapeHtml(content.node.text()), content.bundle.value());
  page += ZoneTableHtml(content.summary);
  page += WorkspaceTableHtml(content.summary);
  page += QueueHtml(content);
  page += RackMapHtml(content.summary);
  page += AuditHtml(content.audit);
  page += "</body></html>\n";
  return page;
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

}  // namespace papayalift
