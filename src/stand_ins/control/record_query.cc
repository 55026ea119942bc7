#include "stand_ins/control/record_query.h"

#include <charconv>

namespace papayalift {

std::size_t SinceOf(const HttpRequest& request, const std::string& key) {
  const auto found = request.query.find(key);
  std::size_t since = 0;
  if (found != request.query.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), since);
  }
  return since;
}

}  // namespace papayalift
