#include "libraries/store/etcd_gateway_client.h"

#include <fmt/format.h>

#include <utility>

#include "libraries/base/try.h"
#include "libraries/store/etcd_codec.h"

namespace papayalift {

namespace {

/// The stand-in and the platform send a progress message about once a second.
constexpr Milliseconds kWatchIdleTimeout{5'000};

absl::StatusOr<std::string> BodyOf(HttpOutcome outcome) {
  if (outcome.result != HttpCallResult::kAnswered) {
    return absl::UnavailableError(fmt::format("key-value service: {}", outcome.error));
  }
  if (outcome.status != HttpStatus::kOk) {
    return absl::UnavailableError(fmt::format("key-value service responded with status {}",
                                              static_cast<int>(outcome.status)));
  }
  return std::move(outcome.body);
}

/// Splits the bytes of a watch stream into lines and passes each decoded batch to the sink.
class WatchLineParser {
 public:
  explicit WatchLineParser(const WatchSink& sink) : m_sink(sink) {}

  /// Returns false to end the stream.
  bool Feed(std::string_view bytes) {
    if (bytes.empty()) {
      return m_sink(WatchBatch{});
    }
    m_pending.append(bytes);
    std::size_t end = m_pending.find('\n');
    while (end != std::string::npos) {
      if (!HandleLine(std::string_view(m_pending).substr(0, end))) {
        return false;
      }
      m_pending.erase(0, end + 1);
      end = m_pending.find('\n');
    }
    return true;
  }

  const absl::Status& status() const { return m_status; }

 private:
  bool HandleLine(std::string_view line) {
    const absl::StatusOr<WatchBatch> batch = DecodeWatchLine(line);
    if (!batch.ok()) {
      m_status = batch.status();
      return false;
    }
    return m_sink(*batch);
  }

  const WatchSink& m_sink;
  std::string m_pending;
  absl::Status m_status;
};

}  // namespace

EtcdGatewayClient::EtcdGatewayClient(std::string address, Milliseconds timeout,
                                     std::shared_ptr<HttpClient> client)
    : m_address(std::move(address)), m_timeout(timeout), m_client(std::move(client)) {}

absl::StatusOr<RangeAnswer> EtcdGatewayClient::Range(const KeyRange& range) {
  return DecodeRangeAnswer(TRY(BodyOf(Post("/v3/kv/range", EncodeRangeRequest(range)))));
}

absl::StatusOr<std::vector<RangeAnswer>> EtcdGatewayClient::RangeAll(
    const std::vector<KeyRange>& ranges) {
  return DecodeRangeTransactionAnswer(
      TRY(BodyOf(Post("/v3/kv/txn", EncodeRangeTransaction(ranges)))));
}

TransactionOutcome EtcdGatewayClient::Commit(const Transaction& transaction) {
  const HttpOutcome sent = Post("/v3/kv/txn", EncodeTransaction(transaction));
  TransactionOutcome outcome;
  if (sent.result == HttpCallResult::kNotSent) {
    outcome.error = sent.error;
    return outcome;
  }
  const absl::StatusOr<std::string> body = BodyOf(sent);
  const absl::StatusOr<TransactionOutcome> decoded =
      body.ok() ? DecodeTransactionAnswer(*body) : body.status();
  if (decoded.ok()) {
    return *decoded;
  }
  outcome.result = TransactionResult::kUnclear;
  outcome.error = std::string(decoded.status().message());
  return outcome;
}

absl::Status EtcdGatewayClient::Watch(const KeyRange& range, Revision start,
                                      const WatchSink& sink) {
  ++m_calls;
  HttpCall call;
  call.url = fmt::format("http://{}/v3/watch", m_address);
  call.body = EncodeWatchRequest(range, start);
  WatchLineParser parser(sink);
  const absl::Status ended = m_client->Stream(
      call, kWatchIdleTimeout, [&parser](std::string_view bytes) { return parser.Feed(bytes); });
  return parser.status().ok() ? ended : parser.status();
}

HttpOutcome EtcdGatewayClient::Post(const std::string& path, std::string body) {
  ++m_calls;
  HttpCall call;
  call.url = fmt::format("http://{}{}", m_address, path);
  call.body = std::move(body);
  call.timeout = m_timeout;
  return m_client->Send(call);
}

}  // namespace papayalift
