#include "libraries/peers/heartbeat_codec.h"

#include <array>

#include "libraries/base/enum_names.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr std::array<EnumName<NodePhase>, 3> kPhases{{{NodePhase::kJoining, "joining"},
                                                      {NodePhase::kServing, "serving"},
                                                      {NodePhase::kLeaving, "leaving"}}};

Json StoppingToJson(const std::vector<AttemptId>& attempts) {
  Json list = Json::array();
  for (const AttemptId& attempt : attempts) {
    list.push_back(attempt.text());
  }
  return list;
}

Heartbeat HeartbeatFromJson(const Json& json) {
  Heartbeat heartbeat;
  heartbeat.node = NodeId(json.at("n").get<std::string>());
  heartbeat.incarnation = json.at("i").get<std::string>();
  heartbeat.phase = EnumFromText(kPhases, json.at("p").get<std::string>()).value_or(NodePhase{});
  heartbeat.bundle = BundleVersion(json.at("b").get<std::int64_t>());
  heartbeat.zones = ZoneEpoch(json.at("z").get<std::int64_t>());
  heartbeat.seen = Revision(json.at("r").get<std::int64_t>());
  heartbeat.store =
      json.at("s").get<int>() != 0 ? StoreContact::kReachable : StoreContact::kUnreachable;
  heartbeat.store_silence = Milliseconds(json.at("a").get<std::int64_t>());
  heartbeat.hold = json.at("h").get<int>() != 0 ? HoldPromise::kGiven : HoldPromise::kNone;
  heartbeat.sent_at = Milliseconds(json.at("t").get<std::int64_t>());
  heartbeat.echo = Milliseconds(json.at("e").get<std::int64_t>());
  heartbeat.echo_incarnation = json.value("o", "");
  heartbeat.stopping_coverage =
      json.contains("c") ? ListCoverage::kTruncated : ListCoverage::kComplete;
  if (json.contains("x")) {
    for (const Json& attempt : json.at("x")) {
      heartbeat.stopping.emplace_back(attempt.get<std::string>());
    }
  }
  return heartbeat;
}

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  Json json{{"n", heartbeat.node.text()},
            {"i", heartbeat.incarnation},
            {"p", EnumText(kPhases, heartbeat.phase)},
            {"b", heartbeat.bundle.value()},
            {"z", heartbeat.zones.value()},
            {"r", heartbeat.seen.value()},
            {"s", heartbeat.store == StoreContact::kReachable ? 1 : 0},
            {"a", heartbeat.store_silence.count()},
            {"h", heartbeat.hold == HoldPromise::kGiven ? 1 : 0},
            {"t", heartbeat.sent_at.count()},
            {"e", heartbeat.echo.count()}};
  if (!heartbeat.echo_incarnation.empty()) {
    json["o"] = heartbeat.echo_incarnation;
  }
  if (heartbeat.stopping_coverage == ListCoverage::kTruncated) {
    json["c"] = 1;
  }
  if (!heartbeat.stopping.empty()) {
    json["x"] = StoppingToJson(heartbeat.stopping);
  }
  return json.dump();
}

absl::StatusOr<Heartbeat> DecodeHeartbeat(std::string_view text) {
  absl::StatusOr<Heartbeat> heartbeat = DecodeRecord<Heartbeat>(text, HeartbeatFromJson);
  if (heartbeat.ok() && (heartbeat->node.empty() || heartbeat->incarnation.empty())) {
    return absl::InvalidArgumentError("heartbeat has no node id or incarnation");
  }
  return heartbeat;
}

}  // namespace papayalift
