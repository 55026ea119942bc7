#include "libraries/model/json_document.h"

namespace papayalift {

absl::StatusOr<Json> ParseJsonObject(std::string_view text) {
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded() || !json.is_object()) {
    return absl::InvalidArgumentError("the text is not a JSON object");
  }
  return json;
}

}  // namespace papayalift
