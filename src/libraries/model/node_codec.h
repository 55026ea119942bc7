/// Node records as JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/model/node_record.h"

namespace papayalift {

std::string EncodeNode(const NodeRecord& node);
absl::StatusOr<NodeRecord> DecodeNode(std::string_view text);

}  // namespace papayalift
