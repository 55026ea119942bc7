/// Interface for requests to workers. Each function sends all its requests concurrently, waits for
/// all replies and returns them in the order of the requests.
#pragma once

#include <vector>

#include "libraries/worker/worker_messages.h"

namespace papayalift {

class WorkerGateway {
 public:
  virtual ~WorkerGateway() = default;

  virtual std::vector<WorkerReply> Prepare(const std::vector<PrepareRequest>& requests) = 0;
  virtual std::vector<WorkerReply> Start(const std::vector<StartRequest>& requests) = 0;
  virtual std::vector<StopReply> Stop(const std::vector<StopRequest>& requests) = 0;
  virtual std::vector<RenewReply> Renew(const std::vector<RenewRequest>& requests) = 0;
};

}  // namespace papayalift
