#include "libraries/model/zone_codec.h"

#include "libraries/model/json_document.h"

namespace papayalift {

std::string EncodeZoneTable(const ZoneTable& zones) {
  Json states = Json::object();
  for (const auto& [zone, state] : zones.states) {
    states[zone.text()] = state == ZoneState::kIn ? "in" : "out";
  }
  return Json{{"epoch", zones.epoch.value()}, {"zones", states}}.dump();
}

absl::StatusOr<ZoneTable> DecodeZoneTable(std::string_view text) {
  return DecodeRecord<ZoneTable>(text, [](const Json& json) {
    ZoneTable zones;
    zones.epoch = ZoneEpoch(json.at("epoch").get<std::int64_t>());
    const Json& states = json.at("zones");
    for (auto state = states.begin(); state != states.end(); ++state) {
      zones.states[ZoneId(state.key())] = state.value() == "in" ? ZoneState::kIn : ZoneState::kOut;
    }
    return zones;
  });
}

}  // namespace papayalift
