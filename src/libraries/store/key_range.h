/// A half-open range of keys.
#pragma once

#include <string>

namespace papayalift {

struct KeyRange {
  std::string first;
  /// The first key past the range; empty for the single key `first`.
  std::string end;

  bool Contains(const std::string& key) const;
};

KeyRange SingleKey(const std::string& key);
/// `prefix` must not be empty.
KeyRange KeysWithPrefix(const std::string& prefix);

}  // namespace papayalift
