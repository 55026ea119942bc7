#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <memory>

#include "libraries/base/duration_text.h"
#include "libraries/calls/call_codec.h"
#include "libraries/node/attempt_id_generator.h"
#include "services/api_client.h"
#include "services/command_output.h"
#include "services/commands.h"

namespace papayalift {

namespace {

struct CallOptions {
  std::string service;
  std::string payload;
  std::string limit = "5s";
  bool idempotent = false;
};

void RunCall(CommandContext& context, const CallOptions& options) {
  const absl::StatusOr<Milliseconds> limit = ParseDuration(options.limit);
  if (!limit.ok()) {
    PrintUsageError(context, "--limit: " + std::string(limit.status().message()));
    return;
  }
  CallRequest request;
  request.request_id = NewIncarnation();
  request.idempotency = options.idempotent ? Idempotency::kIdempotent : Idempotency::kNonIdempotent;
  request.limit = *limit;
  request.payload = options.payload;
  ApiResponse response =
      ApiClient(context.node)
          .Post(fmt::format("/v1/calls/{}", options.service), EncodeCallRequest(request));
  const absl::StatusOr<CallResult> result = DecodeCallResult(response.body);
  if (response.ok() && (!result.ok() || result->request_id != request.request_id)) {
    response.exit_code = ExitCode::kMayHaveRun;
    response.error = "the response belongs to another request; the call may have run";
  }
  PrintResponse(context, response, result.ok() ? result->result : "");
}

}  // namespace

void AddCallCommand(CLI::App& app, CommandContext& context) {
  const std::shared_ptr<CallOptions> options = std::make_shared<CallOptions>();
  CLI::App* const call = app.add_subcommand("call", "Call a service");
  call->add_option("service", options->service, "Service, as named in the bundle")->required();
  call->add_option("payload", options->payload, "Payload for the minion")->required();
  call->add_option("--limit", options->limit, "How long to wait, with a unit")
      ->capture_default_str();
  call->add_flag("--idempotent", options->idempotent,
                 "Allow a retry if it is unknown whether the call ran");
  call->callback([&context, options] { RunCall(context, *options); });
}

}  // namespace papayalift
