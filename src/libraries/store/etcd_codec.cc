#include "libraries/store/etcd_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "libraries/base/try.h"
#include "libraries/store/base64.h"

namespace papayalift {

namespace {

using Json = nlohmann::json;

Json RangeJson(const KeyRange& range) {
  Json json{{"key", EncodeBase64(range.first)}};
  if (!range.end.empty()) {
    json["range_end"] = EncodeBase64(range.end);
  }
  return json;
}

// The gateway writes 64-bit numbers as strings, and leaves out those that are zero.
std::int64_t Int64At(const Json& json, const char* key) {
  const auto found = json.find(key);
  if (found == json.end()) {
    return 0;
  }
  return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

Revision HeaderRevision(const Json& json) {
  const auto header = json.find("header");
  return header == json.end() ? Revision(0) : Revision(Int64At(*header, "revision"));
}

absl::StatusOr<KeyValue> DecodeRecord(const Json& json) {
  KeyValue record;
  record.key = TRY(DecodeBase64(json.value("key", "")));
  record.value = TRY(DecodeBase64(json.value("value", "")));
  record.modified = Revision(Int64At(json, "mod_revision"));
  return record;
}

absl::StatusOr<RangeAnswer> DecodeRange(const Json& json, Revision revision) {
  RangeAnswer answer;
  answer.revision = revision;
  for (const Json& record : json.value("kvs", Json::array())) {
    answer.records.push_back(TRY(DecodeRecord(record)));
  }
  return answer;
}

absl::StatusOr<WatchBatch> DecodeBatch(const Json& json) {
  const Json& result = json.at("result");
  if (Int64At(result, "compact_revision") > 0) {
    return absl::OutOfRangeError("the start revision was compacted");
  }
  if (result.value("canceled", false)) {
    return absl::AbortedError("the watch was cancelled");
  }
  WatchBatch batch;
  batch.revision = HeaderRevision(result);
  for (const Json& json_event : result.value("events", Json::array())) {
    WatchEvent event;
    event.kind =
        json_event.value("type", "PUT") == "DELETE" ? ChangeKind::kDelete : ChangeKind::kPut;
    event.record = TRY(DecodeRecord(json_event.at("kv")));
    batch.events.push_back(std::move(event));
  }
  return batch;
}

/// Applies `decode` to the parsed body. kUnavailable if `body` is malformed.
template <typename Decode>
auto DecodeJsonWith(std::string_view body, const Decode& decode) -> decltype(decode(Json())) {
  try {
    return decode(Json::parse(body));
  } catch (const std::exception& error) {
    return absl::UnavailableError(fmt::format("malformed response: {}", error.what()));
  }
}

}  // namespace

std::string EncodeRangeRequest(const KeyRange& range) { return RangeJson(range).dump(); }

absl::StatusOr<RangeAnswer> DecodeRangeAnswer(std::string_view body) {
  return DecodeJsonWith(body,
                        [](const Json& json) { return DecodeRange(json, HeaderRevision(json)); });
}

std::string EncodeTransaction(const Transaction& transaction) {
  Json compare = Json::array();
  for (const Comparison& comparison : transaction.comparisons()) {
    compare.push_back(Json{{"key", EncodeBase64(comparison.key)},
                           {"target", "MOD"},
                           {"result", "EQUAL"},
                           {"mod_revision", std::to_string(comparison.modified.value())}});
  }
  Json success = Json::array();
  for (const Write& write : transaction.writes()) {
    if (write.kind == WriteKind::kPut) {
      success.push_back(
          Json{{"request_put",
                {{"key", EncodeBase64(write.key)}, {"value", EncodeBase64(write.value)}}}});
    } else {
      success.push_back(Json{{"request_delete_range", {{"key", EncodeBase64(write.key)}}}});
    }
  }
  return Json{{"compare", compare}, {"success", success}}.dump();
}

std::string EncodeRangeTransaction(const std::vector<KeyRange>& ranges) {
  Json success = Json::array();
  for (const KeyRange& range : ranges) {
    success.push_back(Json{{"request_range", RangeJson(range)}});
  }
  return Json{{"success", success}}.dump();
}

absl::StatusOr<TransactionOutcome> DecodeTransactionAnswer(std::string_view body) {
  return DecodeJsonWith(body, [](const Json& json) -> absl::StatusOr<TransactionOutcome> {
    TransactionOutcome outcome;
    outcome.revision = HeaderRevision(json);
    outcome.result =
        json.value("succeeded", false) ? TransactionResult::kApplied : TransactionResult::kConflict;
    return outcome;
  });
}

absl::StatusOr<std::vector<RangeAnswer>> DecodeRangeTransactionAnswer(std::string_view body) {
  return DecodeJsonWith(body, [](const Json& json) -> absl::StatusOr<std::vector<RangeAnswer>> {
    std::vector<RangeAnswer> answers;
    for (const Json& response : json.at("responses")) {
      answers.push_back(TRY(DecodeRange(response.at("response_range"), HeaderRevision(json))));
    }
    return answers;
  });
}

std::string EncodeWatchRequest(const KeyRange& range, Revision start) {
  Json create = RangeJson(range);
  create["start_revision"] = std::to_string(start.value());
  create["progress_notify"] = true;
  return Json{{"create_request", create}}.dump();
}

absl::StatusOr<WatchBatch> DecodeWatchLine(std::string_view line) {
  return DecodeJsonWith(line, [](const Json& json) { return DecodeBatch(json); });
}

}  // namespace papayalift
