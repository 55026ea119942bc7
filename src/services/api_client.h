/// A client of an entry node's HTTP API, for the command line.
#pragma once

#include <string>

#include "libraries/base/verdict.h"
#include "libraries/http/http_client.h"
#include "services/exit_code.h"

namespace papayalift {

struct ApiResponse {
  ExitCode exit_code = ExitCode::kOk;
  /// JSON, also for errors.
  std::string body;
  /// Why there is no result; empty on success.
  std::string error;

  bool ok() const { return exit_code == ExitCode::kOk; }
};

/// The exit code of a command whose work ended without a result.
ExitCode ExitCodeOf(Verdict verdict);

class ApiClient {
 public:
  explicit ApiClient(std::string node) : m_node(std::move(node)) {}

  ApiResponse Get(const std::string& path);
  ApiResponse Post(const std::string& path, std::string body);

 private:
  ApiResponse Send(HttpMethod method, const std::string& path, std::string body);

  const std::string m_node;
  HttpClient m_client;
};

}  // namespace papayalift
