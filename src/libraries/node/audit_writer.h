/// Adds an audit entry to the transaction that makes the change, so that both commit together.
#pragma once

#include <atomic>
#include <string>

#include "libraries/base/clock.h"
#include "libraries/base/ids.h"
#include "libraries/store/transaction.h"

namespace papayalift {

class AuditWriter {
 public:
  AuditWriter(const Clock& clock, NodeId node) : m_clock(clock), m_node(std::move(node)) {}

  /// `actor` is empty for changes that the system makes by itself.
  void Add(Transaction& transaction, const std::string& actor, const std::string& action,
           const std::string& subject, const std::string& reason);

 private:
  const Clock& m_clock;
  const NodeId m_node;
  std::atomic<std::int64_t> m_sequence{0};
};

}  // namespace papayalift
