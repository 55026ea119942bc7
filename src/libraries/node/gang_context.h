/// Dependencies and settings of all gang sessions. The node owns them, and they outlive the
/// sessions.
#pragma once

#include "libraries/base/clock.h"
#include "libraries/membership/vm_list.h"
#include "libraries/metrics/metrics.h"
#include "libraries/node/audit_writer.h"
#include "libraries/node/view_guard.h"
#include "libraries/store/key_value_service.h"
#include "libraries/worker/worker_gateway.h"

namespace papayalift {

struct GangContext {
  const Clock& clock;
  KeyValueService& store;
  WorkerGateway& workers;
  ViewGuard& view;
  AuditWriter& audit;
  Metrics& metrics;
  Milliseconds reservation_lease;
  Milliseconds run_lease;
  /// The platform's VM list: workers whose VM is leaving get no new work. Null where there is none.
  const VmList* vms = nullptr;
};

}  // namespace papayalift
