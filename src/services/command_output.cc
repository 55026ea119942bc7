#include "services/command_output.h"

#include <fmt/format.h>

#include <cstdio>

namespace papayalift {

void PrintResponse(CommandContext& context, const ApiResponse& response, const std::string& text) {
  context.exit_code = response.exit_code;
  if (context.format == OutputFormat::kJson && !response.body.empty()) {
    fmt::print("{}\n", response.body);
    return;
  }
  if (!response.ok()) {
    fmt::print(stderr, "{}\n", response.error);
    return;
  }
  fmt::print("{}\n", text);
}

void PrintUsageError(CommandContext& context, const std::string& error) {
  context.exit_code = ExitCode::kUsage;
  fmt::print(stderr, "{}\n", error);
}

}  // namespace papayalift
