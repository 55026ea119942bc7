/// Encodes and decodes the messages of the call path as JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/calls/call_messages.h"
#include "libraries/calls/minion_messages.h"

namespace papayalift {

std::string EncodeMinionCall(const MinionCall& call);
absl::StatusOr<MinionCall> DecodeMinionCall(std::string_view text);
std::string EncodeMinionAnswer(const MinionAnswer& answer);
absl::StatusOr<MinionAnswer> DecodeMinionAnswer(std::string_view text);

std::string EncodeCallRequest(const CallRequest& request);
absl::StatusOr<CallRequest> DecodeCallRequest(std::string_view text);
std::string EncodeCallResult(const CallResult& result);
absl::StatusOr<CallResult> DecodeCallResult(std::string_view text);

}  // namespace papayalift
