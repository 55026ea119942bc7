#include "libraries/node/attempt_id_generator.h"

#include <fmt/format.h>

#include <random>

namespace papayalift {

AttemptIdGenerator::AttemptIdGenerator(const NodeId& node, const std::string& incarnation)
    : m_prefix(fmt::format("{}-{}", node.text(), incarnation)) {}

AttemptId AttemptIdGenerator::Next() {
  return AttemptId(fmt::format("{}-{}", m_prefix, ++m_count));
}

std::string NewIncarnation() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

}  // namespace papayalift
