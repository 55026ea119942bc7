/// What every gang session works with. The node owns all of it and outlives its sessions.
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
  /// Workers that leave get nothing new; null where the platform has no membership list.
  const VmList* vms = nullptr;
};

}  // namespace papayalift
