/// Encodes and decodes worker messages as JSON, for the gateway and the stand-in worker.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/worker/worker_messages.h"

namespace papayalift {

std::string EncodePrepare(const PrepareRequest& request);
std::string EncodeStart(const StartRequest& request);
std::string EncodeStop(const StopRequest& request);
std::string EncodeRenew(const RenewRequest& request);

absl::StatusOr<PrepareRequest> DecodePrepare(std::string_view text);
absl::StatusOr<StartRequest> DecodeStart(std::string_view text);
absl::StatusOr<StopRequest> DecodeStop(std::string_view text);
absl::StatusOr<RenewRequest> DecodeRenew(std::string_view text);

std::string EncodeReports(const std::vector<AttemptReport>& reports);
absl::StatusOr<std::vector<AttemptReport>> DecodeReports(std::string_view text);

}  // namespace papayalift
