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
  /// Only the first jobs; `jobs_waiting` counts all.
  std::vector<QueuedJob> queue;
  int jobs_waiting = 0;
  /// Newest last.
  std::vector<AuditEntry> audit;
};

/// Returns HTML in UTF-8. Escapes all text that comes from outside.
std::string RenderStatusPage(const StatusPageContent& content);

/// Replaces the special characters of HTML by entities.
std::string EscapeHtml(const std::string& text);

}  // namespace papayalift
