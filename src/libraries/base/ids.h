/// Identifier types shared by all libraries.
#pragma once

#include "libraries/base/strong_id.h"

namespace papayalift {

using JobId = StrongId<struct JobIdTag>;
/// Identifies one attempt to run one job; never reused.
using AttemptId = StrongId<struct AttemptIdTag>;
/// The key under which a caller submits a job; a repeated submission refers to the same job.
using CallerKey = StrongId<struct CallerKeyTag>;
using WorkerId = StrongId<struct WorkerIdTag>;
using RackId = StrongId<struct RackIdTag>;
using ZoneId = StrongId<struct ZoneIdTag>;
using WorkspaceId = StrongId<struct WorkspaceIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
using MinionId = StrongId<struct MinionIdTag>;
using NodeId = StrongId<struct NodeIdTag>;
using OperatorId = StrongId<struct OperatorIdTag>;

}  // namespace papayalift
