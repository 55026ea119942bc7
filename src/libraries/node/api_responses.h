/// Builds the responses of the HTTP API.
#pragma once

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "libraries/base/verdict.h"
#include "libraries/http/http_message.h"
#include "libraries/model/audit_entry.h"
#include "libraries/model/bundle_record.h"
#include "libraries/model/zone_table.h"
#include "libraries/node/fleet_view.h"
#include "libraries/node/job_manager.h"

namespace papayalift {

HttpResponse JsonResponse(std::string body);
/// Reports the error, and in `verdict` whether the requested work ran.
HttpResponse ErrorResponse(const absl::Status& status, Verdict verdict);
/// Derives the verdict: "may have run" for kUnknown, "not run" for any other error.
HttpResponse ErrorResponse(const absl::Status& status);

HttpResponse SubmitResponse(const SubmitResult& answer);
HttpResponse JobListResponse(const FleetView& view);
/// Also lists the guarantees that can't be met while the zones are in the states of `zones`.
HttpResponse ZonesResponse(const ZoneTable& zones, const FleetView& view);
HttpResponse BundleHistoryResponse(const std::vector<BundleRecord>& history,
                                   const CurrentBundle& current);
HttpResponse AuditResponse(const std::vector<AuditEntry>& entries);
HttpResponse StatusResponse(const FleetView& view, const NodeId& self,
                            const std::vector<NodeId>& live);
HttpResponse ExplainResponse(const JobRecord& job, const std::string& explanation);

}  // namespace papayalift
