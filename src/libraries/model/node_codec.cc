#include "libraries/model/node_codec.h"

#include "libraries/model/json_document.h"

namespace papayalift {

std::string EncodeNode(const NodeRecord& node) {
  return Json{{"id", node.id.text()},
              {"zone", node.zone.text()},
              {"api_address", node.api_address},
              {"peer_address", node.peer_address},
              {"incarnation", node.incarnation},
              {"registered_at_ms", node.registered_at.count()}}
      .dump();
}

absl::StatusOr<NodeRecord> DecodeNode(std::string_view text) {
  return DecodeRecord<NodeRecord>(text, [](const Json& json) {
    NodeRecord node;
    node.id = IdAt<NodeId>(json, "id");
    node.zone = IdAt<ZoneId>(json, "zone");
    node.api_address = json.value("api_address", "");
    node.peer_address = json.value("peer_address", "");
    node.incarnation = json.value("incarnation", "");
    node.registered_at = MillisecondsAt(json, "registered_at_ms");
    return node;
  });
}

}  // namespace papayalift
