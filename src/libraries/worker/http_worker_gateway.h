/// Sends requests to workers over HTTP.
#pragma once

#include <memory>

#include "libraries/http/http_client.h"
#include "libraries/worker/worker_gateway.h"

namespace papayalift {

class HttpWorkerGateway final : public WorkerGateway {
 public:
  /// `limit` is the timeout for each batch of requests.
  HttpWorkerGateway(Milliseconds limit, std::shared_ptr<HttpClient> client);

  std::vector<WorkerReply> Prepare(const std::vector<PrepareRequest>& requests) override;
  std::vector<WorkerReply> Start(const std::vector<StartRequest>& requests) override;
  std::vector<StopReply> Stop(const std::vector<StopRequest>& requests) override;
  std::vector<RenewReply> Renew(const std::vector<RenewRequest>& requests) override;

 private:
  HttpCall CallOf(const WorkerTarget& worker, const std::string& path, std::string body) const;

  const Milliseconds m_limit;
  const std::shared_ptr<HttpClient> m_client;
};

}  // namespace papayalift
