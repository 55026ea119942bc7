/// Tables that map enumerators to the words used for them in records and messages.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace papayalift {

template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view text;
};

/// `table` must contain `value`.
template <typename Enum, std::size_t kSize>
std::string EnumText(const std::array<EnumName<Enum>, kSize>& table, Enum value) {
  for (const EnumName<Enum>& name : table) {
    if (name.value == value) {
      return std::string(name.text);
    }
  }
  return "unknown";
}

template <typename Enum, std::size_t kSize>
std::optional<Enum> EnumFromText(const std::array<EnumName<Enum>, kSize>& table,
                                 std::string_view text) {
  for (const EnumName<Enum>& name : table) {
    if (name.text == text) {
      return name.value;
    }
  }
  return std::nullopt;
}

}  // namespace papayalift
