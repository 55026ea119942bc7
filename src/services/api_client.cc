#include "services/api_client.h"

#include <fmt/format.h>

#include <utility>

#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr Milliseconds kResponseTimeout{40'000};

/// For a response that is truncated or that no entry node wrote; its outcome is unknown.
ApiResponse UnreadableResponse() {
  ApiResponse response;
  response.exit_code = ExitCode::kMayHaveRun;
  response.error = "the response can't be decoded; the request may have run";
  return response;
}

}  // namespace

ExitCode ExitCodeOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kRan:
      return ExitCode::kFailed;
    case Verdict::kNotRun:
      return ExitCode::kNotRun;
    case Verdict::kMayHaveRun:
      return ExitCode::kMayHaveRun;
  }
  return ExitCode::kMayHaveRun;
}

ApiResponse ApiClient::Get(const std::string& path) { return Send(HttpMethod::kGet, path, ""); }

ApiResponse ApiClient::Post(const std::string& path, std::string body) {
  return Send(HttpMethod::kPost, path, std::move(body));
}

ApiResponse ApiClient::Send(HttpMethod method, const std::string& path, std::string body) {
  HttpCall call;
  call.method = method;
  call.url = fmt::format("http://{}{}", m_node, path);
  call.body = std::move(body);
  call.timeout = kResponseTimeout;
  const HttpOutcome outcome = m_client.Send(call);
  ApiResponse response;
  if (outcome.result != HttpCallResult::kAnswered) {
    const bool not_sent = outcome.result == HttpCallResult::kNotSent;
    response.exit_code = not_sent ? ExitCode::kNotRun : ExitCode::kMayHaveRun;
    response.error = fmt::format("entry node {}: {}; it {}", m_node, outcome.error,
                                 not_sent ? "did not run" : "may have run");
    return response;
  }
  response.body = outcome.body;
  if (StatusCodeOf(outcome.status) == absl::StatusCode::kOk) {
    return response;
  }
  const absl::StatusOr<Json> json = ParseJsonObject(outcome.body);
  if (!json.ok()) {
    return UnreadableResponse();
  }
  const Verdict verdict =
      VerdictFromText(json->value("verdict", "")).value_or(Verdict::kMayHaveRun);
  response.exit_code = ExitCodeOf(verdict);
  response.error =
      fmt::format("{} ({})", json->value("error", json->value("reason", "")), VerdictText(verdict));
  return response;
}

}  // namespace papayalift
