/// The operators' status page: one static HTML page without scripts.
#pragma once

#include <string>
#include <vector>

#include "libraries/decisions/decision.h"
#include "libraries/model/audit_entry.h"
#include "libraries/node/fleet_summary.h"
#include "libraries/node/fleet_view.h"

namespace papayalift {

struct QueuedJob {
  JobRecord job;
  std::string reason;
};

struct StatusPageContent {
  NodeId node;
  BundleVersion bundle;
  FleetSummary summary;
  /// The first ones only; `jobs_waiting` counts all.
  std::vector<QueuedJob> queue;
  int jobs_waiting = 0;
  /// The newest last.
  std::vector<AuditEntry> audit;
};

/// HTML, UTF-8. Every text that others wrote is escaped.
std::string RenderStatusPage(const StatusPageContent& content);

/// `text` with the characters that mean something in HTML written as entities.
std::string EscapeHtml(const std::string& text);

}  // namespace papayalift
