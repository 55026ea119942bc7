/// A string identifier with a type of its own; kinds of identifiers can't be mixed up.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace papayalift {

template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) : m_text(std::move(text)) {}

  const std::string& text() const { return m_text; }
  bool empty() const { return m_text.empty(); }

  auto operator<=>(const StrongId&) const = default;

 private:
  std::string m_text;
};

}  // namespace papayalift

template <typename Tag>
struct std::hash<papayalift::StrongId<Tag>> {
  std::size_t operator()(const papayalift::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.text());
  }
};
