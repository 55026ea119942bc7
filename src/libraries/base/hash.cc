#include "libraries/base/hash.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace papayalift {

std::uint64_t Hash64(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::string Hash128Hex(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

}  // namespace papayalift
