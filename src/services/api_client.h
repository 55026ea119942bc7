/// The HTTP API of an entry node, from the command line's side.
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
  /// Why there is no result; empty where there is one.
  std::string error;

  bool ok() const { return exit_code == ExitCode::kOk; }
};

/// What a command exits with for work that ended without a result.
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
