/// Standard base64 with padding, as the gateways of key-value stores use it.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace papayalift {

std::string EncodeBase64(std::string_view bytes);
absl::StatusOr<std::string> DecodeBase64(std::string_view text);

}  // namespace papayalift
