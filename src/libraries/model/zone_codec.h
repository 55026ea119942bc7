/// The zone table as JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/model/zone_table.h"

namespace papayalift {

std::string EncodeZoneTable(const ZoneTable& zones);
absl::StatusOr<ZoneTable> DecodeZoneTable(std::string_view text);

}  // namespace papayalift
