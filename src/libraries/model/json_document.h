/// Parses JSON text into typed records; every failure is returned as a status.
///
/// Include only from .cc files: the JSON library is slow to compile.
#pragma once

#include <fmt/format.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/base/strong_id.h"
#include "libraries/base/strong_number.h"
#include "libraries/base/units.h"

namespace papayalift {

using Json = nlohmann::json;

/// Returns kInvalidArgument if `text` is not a JSON object, or nests values more than 64 deep:
/// copies of a document recurse.
absl::StatusOr<Json> ParseJsonObject(std::string_view text);

/// Runs `decode` on the object in `text`; exceptions of the JSON library become kInvalidArgument.
template <typename Record, typename Decode>
absl::StatusOr<Record> DecodeRecord(std::string_view text, const Decode& decode) {
  absl::StatusOr<Json> json = ParseJsonObject(text);
  if (!json.ok()) {
    return json.status();
  }
  try {
    return decode(*json);
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(fmt::format("unexpected JSON: {}", error.what()));
  }
}

template <typename Id>
Id IdAt(const Json& json, const char* key) {
  return Id(json.value(key, std::string()));
}

/// The whole number in `json`. Throws Json::out_of_range if it is not one from `minimum` to
/// `maximum`.
std::int64_t IntegerOf(const Json& json, std::int64_t minimum, std::int64_t maximum);

/// The same for the field `key`; 0 if there is none.
std::int64_t IntegerAt(const Json& json, const char* key, std::int64_t minimum,
                       std::int64_t maximum);

/// The number in the field `key` without its fraction; 0 if there is none. Throws
/// Json::out_of_range, which names the field, if it is not from `minimum` to `maximum`.
std::int64_t NumberAt(const Json& json, const char* key, std::int64_t minimum,
                      std::int64_t maximum);

inline Milliseconds MillisecondsAt(const Json& json, const char* key) {
  return Milliseconds(json.value(key, std::int64_t{0}));
}

}  // namespace papayalift
