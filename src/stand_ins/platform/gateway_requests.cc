#include "stand_ins/platform/gateway_requests.h"

#include "libraries/base/try.h"
#include "libraries/model/json_document.h"
#include "libraries/store/base64.h"

namespace papayalift {

namespace {

absl::StatusOr<KeyRange> RangeOf(const Json& json) {
  KeyRange range;
  range.first = TRY(DecodeBase64(json.value("key", "")));
  range.end = TRY(DecodeBase64(json.value("range_end", "")));
  return range;
}

absl::Status ReadComparison(const Json& json, Transaction& transaction) {
  if (json.value("target", "") != "MOD" || json.value("result", "") != "EQUAL") {
    return absl::InvalidArgumentError("only comparisons of mod_revision for equality are taken");
  }
  std::string key = TRY(DecodeBase64(json.value("key", "")));
  transaction.Expect(std::move(key), Revision(std::stoll(json.value("mod_revision", "0"))));
  return absl::OkStatus();
}

absl::Status ReadOperation(const Json& json, GatewayTransaction& request) {
  if (json.contains("request_range")) {
    request.reads.push_back(TRY(RangeOf(json["request_range"])));
  } else if (json.contains("request_put")) {
    const Json& put = json["request_put"];
    std::string key = TRY(DecodeBase64(put.value("key", "")));
    request.transaction.Put(std::move(key), TRY(DecodeBase64(put.value("value", ""))));
  } else if (json.contains("request_delete_range")) {
    request.transaction.Delete(TRY(DecodeBase64(json["request_delete_range"].value("key", ""))));
  } else {
    return absl::InvalidArgumentError("unknown operation");
  }
  return absl::OkStatus();
}

Json RecordJson(const KeyValue& record) {
  return Json{{"key", EncodeBase64(record.key)},
              {"value", EncodeBase64(record.value)},
              {"mod_revision", std::to_string(record.modified.value())}};
}

Json HeaderJson(Revision revision) { return Json{{"revision", std::to_string(revision.value())}}; }

Json RangeJson(const RangeAnswer& answer) {
  Json records = Json::array();
  for (const KeyValue& record : answer.records) {
    records.push_back(RecordJson(record));
  }
  return Json{{"header", HeaderJson(answer.revision)},
              {"kvs", records},
              {"count", std::to_string(answer.records.size())}};
}

}  // namespace

absl::StatusOr<KeyRange> ReadRangeRequest(std::string_view body) {
  return DecodeRecord<KeyRange>(body, RangeOf);
}

absl::StatusOr<GatewayTransaction> ReadTransactionRequest(std::string_view body) {
  return DecodeRecord<GatewayTransaction>(
      body, [](const Json& json) -> absl::StatusOr<GatewayTransaction> {
        GatewayTransaction request;
        for (const Json& comparison : json.value("compare", Json::array())) {
          TRY(ReadComparison(comparison, request.transaction));
        }
        for (const Json& operation : json.value("success", Json::array())) {
          TRY(ReadOperation(operation, request));
        }
        return request;
      });
}

absl::StatusOr<GatewayWatch> ReadWatchRequest(std::string_view body) {
  return DecodeRecord<GatewayWatch>(body, [](const Json& json) -> absl::StatusOr<GatewayWatch> {
    const Json& create = json.at("create_request");
    GatewayWatch watch;
    watch.range = TRY(RangeOf(create));
    watch.start = Revision(std::stoll(create.value("start_revision", "1")));
    return watch;
  });
}

std::string WriteRangeAnswer(const RangeAnswer& answer) { return RangeJson(answer).dump(); }

std::string WriteTransactionAnswer(const TransactionOutcome& outcome,
                                   const std::vector<RangeAnswer>& reads) {
  Json responses = Json::array();
  for (const RangeAnswer& read : reads) {
    responses.push_back(Json{{"response_range", RangeJson(read)}});
  }
  return Json{{"header", HeaderJson(outcome.revision)},
              {"succeeded", outcome.result == TransactionResult::kApplied},
              {"responses", responses}}
      .dump();
}

std::string WriteWatchBatch(const WatchBatch& batch) {
  Json events = Json::array();
  for (const WatchEvent& event : batch.events) {
    events.push_back(Json{{"type", event.kind == ChangeKind::kDelete ? "DELETE" : "PUT"},
                          {"kv", RecordJson(event.record)}});
  }
  return Json{{"result", {{"header", HeaderJson(batch.revision)}, {"events", events}}}}.dump() +
         "\n";
}

std::string WriteCompactedWatch() {
  return Json{{"result", {{"canceled", true}, {"compact_revision", "1"}}}}.dump() + "\n";
}

}  // namespace papayalift
