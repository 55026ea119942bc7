#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr int kMaxDepth = 64;

/// Whether arrays and objects are nested no deeper than kMaxDepth. Text that is not JSON may pass.
bool IsShallow(std::string_view text) {
  int depth = 0;
  bool is_in_string = false;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char character = text[index];
    if (is_in_string) {
      // The character after a backslash does not end the string.
      index += character == '\\' ? 1 : 0;
      is_in_string = character != '"';
    } else if (character == '"') {
      is_in_string = true;
    } else if (character == '[' || character == '{') {
      if (++depth > kMaxDepth) {
        return false;
      }
    } else if (character == ']' || character == '}') {
      --depth;
    }
  }
  return true;
}

}  // namespace

absl::StatusOr<Json> ParseJsonObject(std::string_view text) {
  if (!IsShallow(text)) {
    return absl::InvalidArgumentError("the text is nested too deep");
  }
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded() || !json.is_object()) {
    return absl::InvalidArgumentError("the text is not a JSON object");
  }
  return json;
}

std::int64_t IntegerOf(const Json& json, std::int64_t minimum, std::int64_t maximum) {
  // Error 401 of the JSON library: a value is out of range.
  constexpr int kOutOfRange = 401;
  // NOTE: a number beyond 64 bits is a floating point number here, and one beyond 63 bits unsigned.
  const bool is_representable = json.is_number_integer() &&
                                (!json.is_number_unsigned() ||
                                 json.get<std::uint64_t>() <= static_cast<std::uint64_t>(maximum));
  if (!is_representable || json.get<std::int64_t>() < minimum ||
      json.get<std::int64_t>() > maximum) {
    throw Json::out_of_range::create(
        kOutOfRange, fmt::format("a number is not a whole one from {} to {}", minimum, maximum),
        nullptr);
  }
  return json.get<std::int64_t>();
}

std::int64_t IntegerAt(const Json& json, const char* key, std::int64_t minimum,
                       std::int64_t maximum) {
  const auto found = json.find(key);
  return found == json.end() ? 0 : IntegerOf(*found, minimum, maximum);
}

std::int64_t NumberAt(const Json& json, const char* key, std::int64_t minimum,
                      std::int64_t maximum) {
  const auto found = json.find(key);
  if (found == json.end()) {
    return 0;
  }
  const double value = found->get<double>();
  // Error 401 of the JSON library: a value is out of range.
  constexpr int kOutOfRange = 401;
  if (value < static_cast<double>(minimum) || value > static_cast<double>(maximum)) {
    throw Json::out_of_range::create(
        kOutOfRange, fmt::format("{} is not from {} to {}", key, minimum, maximum), nullptr);
  }
  return static_cast<std::int64_t>(value);
}

}  // namespace papayalift
