#include "services/text_file.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

namespace papayalift {

absl::StatusOr<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(fmt::format("can't read '{}'", path));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace papayalift
