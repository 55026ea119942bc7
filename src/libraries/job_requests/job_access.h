/// Which jobs a consumer may read and cancel.
#pragma once

#include "libraries/base/ids.h"
#include "libraries/journal/accepted_job.h"
#include "libraries/work/fleet_manifest.h"

namespace papayalift {

/// Whether a consumer whose key belongs to `workspace` (empty if the queue needs none) may read and
/// cancel the job through `queue`: a job of its own workspace, one that was submitted without a
/// key, or any of a queue that needs no key.
bool MayAccess(const AcceptedJob& job, const WorkspaceId& workspace, const QueueSpec& queue);

}  // namespace papayalift
