/// Maintains the records of entry nodes in the key-value service: writes this node's own and
/// removes those of silent nodes.
#pragma once

#include "absl/status/status.h"
#include "libraries/model/node_record.h"
#include "libraries/node/audit_writer.h"
#include "libraries/node/membership.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

class NodeRegistry {
 public:
  NodeRegistry(KeyValueService& store, AuditWriter& audit, NodeRecord self);

  /// Writes this node's record, also over one of an earlier incarnation. kUnavailable: try again.
  absl::Status Register();
  /// Removes the record, unless a newer incarnation has replaced it.
  absl::Status Deregister();
  /// Removes the record of a silent node, if neither that record nor this node's own has changed.
  absl::Status Remove(const SilentNode& node, Revision own_modified);

 private:
  KeyValueService& m_store;
  AuditWriter& m_audit;
  const NodeRecord m_self;
};

}  // namespace papayalift
