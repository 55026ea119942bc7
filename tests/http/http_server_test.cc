#include "libraries/http/http_server.h"

#include <criterion/criterion.h>

#include <thread>

#include "http/raw_connection.h"
#include "libraries/http/http_client.h"

namespace papayalift {

namespace {

constexpr Milliseconds kPatience{20'000};
constexpr Milliseconds kShortIdle{1'000};

/// Echoes bodies.
struct ServerFixture {
  explicit ServerFixture(const HttpServerLimits& limits = HttpServerLimits{}) {
    absl::StatusOr<std::unique_ptr<HttpServer>> created =
        HttpServer::Create("127.0.0.1", 0, limits, [](const HttpRequest& request) {
          HttpResponse response;
          response.body = request.body;
          return response;
        });
    cr_assert(created.ok());
    server = *std::move(created);
  }

  HttpOutcome Post(const std::string& body) {
    HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string(server->port()) + "/echo";
    call.body = body;
    call.limit = kPatience;
    return client.Send(call);
  }

  /// What the server sends on a connection of its own until it closes it.
  std::string Talk(const std::string& bytes) const {
    const RawConnection connection(server->port());
    connection.Write(bytes);
    return connection.ReadToEnd();
  }

  bool ServesOthers() { return Post("others").body == "others"; }

  std::unique_ptr<HttpServer> server;
  HttpClient client;
};

/// 505 is the answer to a version of HTTP that the server does not know.
bool IsRefusalOrClosed(const std::string& answer) {
  return answer.empty() || answer.starts_with("HTTP/1.1 4") || answer.starts_with("HTTP/1.0 4") ||
         answer.starts_with("HTTP/1.1 505");
}

HttpServerLimits ShortIdle() {
  HttpServerLimits limits;
  limits.idle = kShortIdle;
  return limits;
}

}  // namespace

Test(http_server, malformed_request_is_refused_and_others_are_served) {
  ServerFixture fixture(ShortIdle());
  for (const char* text :
       {"\r\n\r\n", "NONSENSE\r\n\r\n", "GET\r\n\r\n", "POST /echo HTTP/9.9\r\n\r\n",
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n"}) {
    cr_expect(IsRefusalOrClosed(fixture.Talk(text)), "%s", text);
  }
  cr_expect(fixture.Talk(std::string("\0\1\2\3\r\n\r\n", 8)).find("200") == std::string::npos);
  cr_expect(fixture.ServesOthers());
}

Test(http_server, body_above_limit_gets_413) {
  HttpServerLimits limits;
  limits.body_bytes = 1'000;
  ServerFixture fixture(limits);
  cr_expect(fixture.Post(std::string(1'000, 'x')).status == HttpStatus::kOk);
  cr_expect(fixture.Post(std::string(1'001, 'x')).status == HttpStatus::kPayloadTooLarge);
  cr_expect(fixture.Post(std::string(4'000, 'x')).status == HttpStatus::kPayloadTooLarge);
  cr_expect(fixture.ServesOthers());
}

Test(http_server, declared_huge_body_is_refused_before_it_arrives) {
  ServerFixture fixture;
  const std::string answer =
      fixture.Talk("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n");
  cr_expect(answer.starts_with("HTTP/1.1 413"), "%s", answer.c_str());
  cr_expect(fixture.ServesOthers());
}

Test(http_server, endless_body_is_closed) {
  HttpServerLimits limits;
  limits.body_bytes = 1'000;
  ServerFixture fixture(limits);
  const RawConnection connection(fixture.server->port());
  connection.Write("POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "3e8\r\n" + std::string(1'000, 'x') + "\r\n";
  for (int count = 0; count < 1'000; ++count) {
    connection.Write(chunk);
  }
  cr_expect(IsRefusalOrClosed(connection.ReadToEnd()));
  cr_expect(fixture.ServesOthers());
}

Test(http_server, headers_above_limit_are_refused) {
  ServerFixture fixture;
  const std::string answer = fixture.Talk(
      "GET /echo HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(64'000, 'x') + "\r\n\r\n");
  cr_expect(IsRefusalOrClosed(answer), "%s", answer.c_str());
  cr_expect(fixture.ServesOthers());
}

Test(http_server, half_sent_request_is_closed_and_others_are_served) {
  ServerFixture fixture(ShortIdle());
  const RawConnection half_head(fixture.server->port());
  half_head.Write("POST /echo HTT");
  const RawConnection half_body(fixture.server->port());
  half_body.Write("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf");
  cr_expect(fixture.ServesOthers());
  cr_expect(IsRefusalOrClosed(half_head.ReadToEnd()));
  cr_expect(IsRefusalOrClosed(half_body.ReadToEnd()));
  cr_expect(fixture.ServesOthers());
}

Test(http_server, connections_above_limit_are_closed_until_one_leaves) {
  HttpServerLimits limits;
  limits.connections = 2;
  ServerFixture fixture(limits);
  {
    const RawConnection first(fixture.server->port());
    const RawConnection second(fixture.server->port());
    first.Write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    second.Write("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(!first.ReadUntil("\r\n\r\n").empty());
    cr_assert(!second.ReadUntil("\r\n\r\n").empty());
    cr_expect(fixture.Talk("GET /a HTTP/1.1\r\nHost: a\r\n\r\n").empty());
  }
  // The server hears of the closed connections in its own time.
  bool served = false;
  for (int tries = 0; tries < 200 && !served; ++tries) {
    served = fixture.ServesOthers();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  cr_expect(served);
}

Test(http_server, answer_cut_by_a_fault_is_unclear_to_its_client) {
  absl::StatusOr<std::unique_ptr<HttpServer>> server =
      HttpServer::Create("127.0.0.1", 0, HttpServerLimits{}, [](const HttpRequest& request) {
        HttpResponse response;
        response.body = R"({"a":"a long enough body"})";
        response.delivery = request.path == "/cut" ? HttpDelivery::kCut : HttpDelivery::kNone;
        return response;
      });
  cr_assert(server.ok());
  HttpClient client;
  for (const char* path : {"/cut", "/none"}) {
    HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string((*server)->port()) + path;
    call.limit = kPatience;
    cr_expect(client.Send(call).reach == CallReach::kUnclear, "%s", path);
  }
}

}  // namespace papayalift
