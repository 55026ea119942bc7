#include "libraries/membership/vm_list_codec.h"

#include <array>
#include <optional>

#include "libraries/base/enum_names.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr std::array<EnumName<VmState>, 3> kStates{
    {{VmState::kLive, "live"}, {VmState::kLeaving, "leaving"}, {VmState::kGone, "gone"}}};

}  // namespace

std::string EncodeVmList(const std::vector<VmEntry>& entries) {
  Json list = Json::array();
  for (const VmEntry& entry : entries) {
    list.push_back(Json{{"name", entry.name}, {"state", EnumText(kStates, entry.state)}});
  }
  return list.dump();
}

absl::StatusOr<std::vector<VmEntry>> DecodeVmList(std::string_view text) {
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_array()) {
    return absl::InvalidArgumentError("membership list is not a JSON array");
  }
  std::vector<VmEntry> entries;
  for (const Json& item : json) {
    const bool named = item.is_object() && item.contains("name") && item["name"].is_string() &&
                       item.contains("state") && item["state"].is_string();
    if (!named) {
      return absl::InvalidArgumentError("membership list entry has no name or no state");
    }
    const std::optional<VmState> state = EnumFromText(kStates, item["state"].get<std::string>());
    if (state) {
      entries.push_back(VmEntry{item["name"].get<std::string>(), *state});
    }
  }
  return entries;
}

}  // namespace papayalift
