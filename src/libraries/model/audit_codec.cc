#include "libraries/model/audit_codec.h"

#include "libraries/model/json_document.h"

namespace papayalift {

std::string EncodeAuditEntry(const AuditEntry& entry) {
  return Json{{"at_ms", entry.at.count()}, {"node", entry.node.text()}, {"actor", entry.actor},
              {"action", entry.action},    {"subject", entry.subject},  {"reason", entry.reason}}
      .dump();
}

absl::StatusOr<AuditEntry> DecodeAuditEntry(std::string_view text) {
  return DecodeRecord<AuditEntry>(text, [](const Json& json) {
    AuditEntry entry;
    entry.at = MillisecondsAt(json, "at_ms");
    entry.node = IdAt<NodeId>(json, "node");
    entry.actor = json.value("actor", "");
    entry.action = json.value("action", "");
    entry.subject = json.value("subject", "");
    entry.reason = json.value("reason", "");
    return entry;
  });
}

}  // namespace papayalift
