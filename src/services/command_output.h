/// How commands print.
#pragma once

#include <string>

#include "services/api_client.h"
#include "services/command_context.h"

namespace papayalift {

/// Prints the answer's JSON under --json, else `text`; errors go to standard error. Sets the exit
/// code.
void PrintResponse(CommandContext& context, const ApiResponse& response, const std::string& text);

void PrintUsageError(CommandContext& context, const std::string& error);

}  // namespace papayalift
