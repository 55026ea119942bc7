#include "libraries/node/audit_writer.h"

#include "libraries/model/audit_codec.h"
#include "libraries/model/keys.h"

namespace papayalift {

void AuditWriter::Add(Transaction& transaction, const std::string& actor, const std::string& action,
                      const std::string& subject, const std::string& reason) {
  AuditEntry entry;
  entry.at = m_clock.WallNow();
  entry.node = m_node;
  entry.actor = actor;
  entry.action = action;
  entry.subject = subject;
  entry.reason = reason;
  transaction.Put(keys::AuditKey(entry.at, m_node, ++m_sequence), EncodeAuditEntry(entry));
}

}  // namespace papayalift
