/// Options and state that all commands share.
#pragma once

#include <string>

#include "services/exit_code.h"

namespace papayalift {

enum class OutputFormat { kText, kJson };

struct CommandContext {
  /// "IP:port" of the entry node that client commands connect to.
  std::string node = "127.0.0.1:7400";
  OutputFormat format = OutputFormat::kText;
  /// Exit code of the process.
  ExitCode exit_code = ExitCode::kOk;
};

}  // namespace papayalift
