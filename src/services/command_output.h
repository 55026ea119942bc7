/// Output of the commands.
#pragma once

#include <string>

#include "services/api_client.h"
#include "services/command_context.h"

namespace papayalift {

/// Prints the response's JSON with --json, otherwise `text` or, on standard error, the error. Sets
/// the exit code.
void PrintResponse(CommandContext& context, const ApiResponse& response, const std::string& text);

void PrintUsageError(CommandContext& context, const std::string& error);

}  // namespace papayalift
