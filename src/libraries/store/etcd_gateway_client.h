/// Client of a key-value service behind the etcd v3 JSON gateway.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "libraries/http/http_client.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

class EtcdGatewayClient final : public KeyValueService {
 public:
  /// `address` is "IP:port"; `timeout` applies to every call but a watch.
  EtcdGatewayClient(std::string address, Milliseconds timeout, std::shared_ptr<HttpClient> client);

  absl::StatusOr<RangeAnswer> Range(const KeyRange& range) override;
  absl::StatusOr<std::vector<RangeAnswer>> RangeAll(const std::vector<KeyRange>& ranges) override;
  TransactionOutcome Commit(const Transaction& transaction) override;
  absl::Status Watch(const KeyRange& range, Revision start, const WatchSink& sink) override;

  /// Calls sent since the start, watches included.
  std::int64_t calls() const { return m_calls.load(); }

 private:
  HttpOutcome Post(const std::string& path, std::string body);

  const std::string m_address;
  const Milliseconds m_timeout;
  const std::shared_ptr<HttpClient> m_client;
  std::atomic<std::int64_t> m_calls{0};
};

}  // namespace papayalift
