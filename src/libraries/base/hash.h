/// XXH3 hashes as hexadecimal text and numbers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace papayalift {

std::uint64_t Hash64(std::string_view text);

/// 32 hexadecimal digits.
std::string Hash128Hex(std::string_view text);

}  // namespace papayalift
