/// Bundle records as JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/model/bundle_record.h"

namespace papayalift {

std::string EncodeBundleRecord(const BundleRecord& record);
absl::StatusOr<BundleRecord> DecodeBundleRecord(std::string_view text);

std::string EncodeCurrentBundle(const CurrentBundle& current);
absl::StatusOr<CurrentBundle> DecodeCurrentBundle(std::string_view text);

}  // namespace papayalift
