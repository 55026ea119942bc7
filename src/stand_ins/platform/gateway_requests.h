/// Server-side decoding of requests to the etcd v3 JSON gateway, and encoding of its responses.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

/// A decoded transaction: either comparisons and writes, or only reads.
struct GatewayTransaction {
  Transaction transaction;
  std::vector<KeyRange> reads;
};

struct GatewayWatch {
  KeyRange range;
  Revision start;
};

absl::StatusOr<KeyRange> ReadRangeRequest(std::string_view body);
absl::StatusOr<GatewayTransaction> ReadTransactionRequest(std::string_view body);
absl::StatusOr<GatewayWatch> ReadWatchRequest(std::string_view body);

std::string WriteRangeAnswer(const RangeAnswer& answer);
std::string WriteTransactionAnswer(const TransactionOutcome& outcome,
                                   const std::vector<RangeAnswer>& reads);
/// Encodes one line of the watch stream, including the newline.
std::string WriteWatchBatch(const WatchBatch& batch);
std::string WriteCompactedWatch();

}  // namespace papayalift
