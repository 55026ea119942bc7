/// Generates attempt ids that are unique across nodes and restarts.
#pragma once

#include <atomic>
#include <string>

#include "libraries/base/ids.h"

namespace papayalift {

class AttemptIdGenerator {
 public:
  /// `incarnation` differs for each start of a process.
  AttemptIdGenerator(const NodeId& node, const std::string& incarnation);

  AttemptId Next();

 private:
  const std::string m_prefix;
  std::atomic<std::int64_t> m_count{0};
};

/// Random text that differs for each start of a process.
std::string NewIncarnation();

}  // namespace papayalift
