#include "libraries/job_requests/job_access.h"

namespace papayalift {

bool MayAccess(const AcceptedJob& job, const WorkspaceId& workspace, const QueueSpec& queue) {
  if (job.workspace.empty() || job.workspace == workspace) {
    return true;
  }
  return !queue.needs_key && job.queue == queue.id;
}

}  // namespace papayalift
