/// The JSON messages of the etcd v3 gateway (etcd documentation, "gRPC gateway", API v3).
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

std::string EncodeRangeRequest(const KeyRange& range);
absl::StatusOr<RangeAnswer> DecodeRangeAnswer(std::string_view body);

std::string EncodeTransaction(const Transaction& transaction);
/// Encodes a read-only transaction of several ranges.
std::string EncodeRangeTransaction(const std::vector<KeyRange>& ranges);
absl::StatusOr<TransactionOutcome> DecodeTransactionAnswer(std::string_view body);
absl::StatusOr<std::vector<RangeAnswer>> DecodeRangeTransactionAnswer(std::string_view body);

std::string EncodeWatchRequest(const KeyRange& range, Revision start);
/// Decodes one line of a watch stream. kOutOfRange: the start revision was compacted. kAborted: the
/// server cancelled the watch.
absl::StatusOr<WatchBatch> DecodeWatchLine(std::string_view line);

}  // namespace papayalift
