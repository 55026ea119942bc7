#include "libraries/node/node_registry.h"

#include <utility>

#include "libraries/base/try.h"
#include "libraries/model/keys.h"
#include "libraries/model/node_codec.h"

namespace papayalift {

namespace {

absl::Status StatusOfOutcome(const TransactionOutcome& outcome) {
  if (outcome.result == TransactionResult::kApplied) {
    return absl::OkStatus();
  }
  return absl::UnavailableError("the record of this node could not be written");
}

}  // namespace

NodeRegistry::NodeRegistry(KeyValueService& store, AuditWriter& audit, NodeRecord self)
    : m_store(store), m_audit(audit), m_self(std::move(self)) {}

absl::Status NodeRegistry::Register() {
  const std::string key = keys::NodeKey(m_self.id);
  const RangeAnswer answer = TRY(m_store.Range(SingleKey(key)));
  const Revision modified = answer.records.empty() ? Revision(0) : answer.records.front().modified;
  Transaction transaction;
  transaction.Expect(key, modified).Put(key, EncodeNode(m_self));
  m_audit.Add(transaction, "", "node registered", key, m_self.incarnation);
  return StatusOfOutcome(m_store.Commit(transaction));
}

absl::Status NodeRegistry::Deregister() {
  const std::string key = keys::NodeKey(m_self.id);
  const RangeAnswer answer = TRY(m_store.Range(SingleKey(key)));
  if (answer.records.empty()) {
    return absl::OkStatus();
  }
  const NodeRecord current = TRY(DecodeNode(answer.records.front().value));
  if (current.incarnation != m_self.incarnation) {
    return absl::OkStatus();
  }
  Transaction transaction;
  transaction.Expect(key, answer.records.front().modified).Delete(key);
  m_audit.Add(transaction, "", "node left", key, m_self.incarnation);
  return StatusOfOutcome(m_store.Commit(transaction));
}

absl::Status NodeRegistry::Remove(const SilentNode& node, Revision own_modified) {
  const std::string key = keys::NodeKey(node.id);
  Transaction transaction;
  transaction.Expect(key, node.modified).Expect(keys::NodeKey(m_self.id), own_modified).Delete(key);
  m_audit.Add(transaction, "", "node removed", key, "silent for long: " + node.incarnation);
  return StatusOfOutcome(m_store.Commit(transaction));
}

}  // namespace papayalift
