/// Bodies of the HTTP API's answers.
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
/// Says why, and what is known of the requested work.
HttpResponse ErrorResponse(const absl::Status& status, Verdict verdict);
/// kUnknown means that the work may have run; any other error that it did not.
HttpResponse ErrorResponse(const absl::Status& status);

HttpResponse SubmitResponse(const SubmitResult& answer);
HttpResponse JobListResponse(const FleetView& view);
/// Names the guarantees that can not be kept under `zones` as well.
HttpResponse ZonesResponse(const ZoneTable& zones, const FleetView& view);
HttpResponse BundleHistoryResponse(const std::vector<BundleRecord>& history,
                                   const CurrentBundle& current);
HttpResponse AuditResponse(const std::vector<AuditEntry>& entries);
HttpResponse StatusResponse(const FleetView& view, const NodeId& self,
                            const std::vector<NodeId>& live);
HttpResponse ExplainResponse(const JobRecord& job, const std::string& explanation);

}  // namespace papayalift
