#include "libraries/node/ownership.h"

#include "libraries/base/hash.h"

namespace papayalift {

NodeId OwnerOf(const JobId& job, const std::vector<NodeId>& live) {
  NodeId owner;
  std::uint64_t best = 0;
  for (const NodeId& node : live) {
    const std::uint64_t score = Hash64(node.text() + "/" + job.text());
    if (owner.empty() || score > best) {
      owner = node;
      best = score;
    }
  }
  return owner;
}

}  // namespace papayalift
