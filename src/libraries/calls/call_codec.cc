#include "libraries/calls/call_codec.h"

#include "libraries/model/json_document.h"

namespace papayalift {

std::string EncodeMinionCall(const MinionCall& call) {
  return Json{{"request_id", call.request_id},
              {"ticket", call.ticket},
              {"limit_ms", call.limit.count()},
              {"payload", call.payload}}
      .dump();
}

absl::StatusOr<MinionCall> DecodeMinionCall(std::string_view text) {
  return DecodeRecord<MinionCall>(text, [](const Json& json) {
    MinionCall call;
    call.request_id = json.value("request_id", "");
    call.ticket = json.value("ticket", "");
    call.limit = MillisecondsAt(json, "limit_ms");
    call.payload = json.value("payload", "");
    return call;
  });
}

std::string EncodeMinionAnswer(const MinionAnswer& answer) {
  return Json{{"request_id", answer.request_id},
              {"result", answer.result},
              {"refusal", answer.refusal},
              {"ticket", answer.ticket},
              {"busy_slots", answer.busy_slots}}
      .dump();
}

absl::StatusOr<MinionAnswer> DecodeMinionAnswer(std::string_view text) {
  return DecodeRecord<MinionAnswer>(text, [](const Json& json) {
    MinionAnswer answer;
    answer.request_id = json.value("request_id", "");
    answer.result = json.value("result", "");
    answer.refusal = json.value("refusal", "");
    answer.ticket = json.value("ticket", "");
    answer.busy_slots = json.value("busy_slots", 0);
    return answer;
  });
}

std::string EncodeCallRequest(const CallRequest& request) {
  return Json{{"request_id", request.request_id},
              {"idempotent", request.idempotency == Idempotency::kIdempotent},
              {"limit_ms", request.limit.count()},
              {"payload", request.payload}}
      .dump();
}

absl::StatusOr<CallRequest> DecodeCallRequest(std::string_view text) {
  return DecodeRecord<CallRequest>(text, [](const Json& json) -> absl::StatusOr<CallRequest> {
    CallRequest request;
    request.request_id = json.value("request_id", "");
    request.idempotency =
        json.value("idempotent", false) ? Idempotency::kIdempotent : Idempotency::kNonIdempotent;
    if (json.contains("limit_ms")) {
      request.limit = MillisecondsAt(json, "limit_ms");
    }
    if (request.limit <= Milliseconds(0)) {
      return absl::InvalidArgumentError("'limit_ms' must be above 0");
    }
    request.payload = json.value("payload", "");
    return request;
  });
}

std::string EncodeCallResult(const CallResult& result) {
  return Json{{"request_id", result.request_id},
              {"verdict", VerdictText(result.verdict)},
              {"result", result.result},
              {"reason", result.reason}}
      .dump();
}

absl::StatusOr<CallResult> DecodeCallResult(std::string_view text) {
  return DecodeRecord<CallResult>(text, [](const Json& json) {
    CallResult result;
    result.request_id = json.value("request_id", "");
    result.verdict = VerdictFromText(json.value("verdict", "")).value_or(Verdict::kMayHaveRun);
    result.result = json.value("result", "");
    result.reason = json.value("reason", "");
    return result;
  });
}

}  // namespace papayalift
