#include "libraries/http/http_server.h"

#include <criterion/criterion.h>

#include <thread>

#include "http/raw_connection.h"
#include "libraries/base/boot_clock.h"
#include "libraries/http/http_client.h"

namespace papayalift {

namespace {

constexpr Milliseconds kCallTimeout{20'000};
constexpr Milliseconds kShortIdleTimeout{1'000};

/// A server that echoes request bodies.
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
    call.timeout = kCallTimeout;
    // Uses a new client each time: the server may close an idle connection at any moment.
    HttpClient client;
    return client.Send(call);
  }

  /// Sends `bytes` on a new connection and returns what the server sends until it closes it.
  std::string SendAndReadToEnd(const std::string& bytes) const {
    const RawConnection connection(server->port());
    connection.Write(bytes);
    return connection.ReadToEnd();
  }

  bool ServesFurtherCalls() { return Post("others").body == "others"; }

  std::unique_ptr<HttpServer> server;
};

/// 505 is the response to an unknown version of HTTP.
bool IsRefusedOrClosed(const std::string& answer) {
  return answer.empty() || answer.starts_with("HTTP/1.1 4") || answer.starts_with("HTTP/1.0 4") ||
         answer.starts_with("HTTP/1.1 505");
}

HttpServerLimits LimitsWithShortIdleTimeout() {
  HttpServerLimits limits;
  limits.idle_timeout = kShortIdleTimeout;
  return limits;
}

}  // namespace

Test(http_server, malformed_request_is_refused_and_further_calls_are_served) {
  ServerFixture fixture(LimitsWithShortIdleTimeout());
  for (const char* text :
       {"\r\n\r\n", "NONSENSE\r\n\r\n", "GET\r\n\r\n", "POST /echo HTTP/9.9\r\n\r\n",
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n"}) {
    cr_expect(IsRefusedOrClosed(fixture.SendAndReadToEnd(text)), "%s", text);
  }
  cr_expect(fixture.SendAndReadToEnd(std::string("\0\1\2\3\r\n\r\n", 8)).find("200") ==
            std::string::npos);
  cr_expect(fixture.ServesFurtherCalls());
}

Test(http_server, body_above_limit_gets_413) {
  HttpServerLimits limits;
  limits.body_bytes = 1'000;
  ServerFixture fixture(limits);
  cr_expect(fixture.Post(std::string(1'000, 'x')).status == HttpStatus::kOk);
  cr_expect(fixture.Post(std::string(1'001, 'x')).status == HttpStatus::kPayloadTooLarge);
  cr_expect(fixture.Post(std::string(4'000, 'x')).status == HttpStatus::kPayloadTooLarge);
  cr_expect(fixture.ServesFurtherCalls());
}

Test(http_server, declared_body_far_above_limit_is_refused_before_it_arrives) {
  ServerFixture fixture;
  const std::string answer = fixture.SendAndReadToEnd(
      "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n");
  cr_expect(answer.starts_with("HTTP/1.1 413"), "%s", answer.c_str());
  cr_expect(fixture.ServesFurtherCalls());
}

Test(http_server, chunked_body_far_above_limit_is_closed) {
  HttpServerLimits limits;
  limits.body_bytes = 1'000;
  ServerFixture fixture(limits);
  const RawConnection connection(fixture.server->port());
  connection.Write("POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "3e8\r\n" + std::string(1'000, 'x') + "\r\n";
  for (int count = 0; count < 1'000; ++count) {
    connection.Write(chunk);
  }
  cr_expect(IsRefusedOrClosed(connection.ReadToEnd()));
  cr_expect(fixture.ServesFurtherCalls());
}

// The client must know that the request had no effect, and when to come back.
Test(http_server, body_over_budget_gets_503_with_retry_after) {
  const BootClock clock;
  BodyBudgetLimits body_limits;
  body_limits.total_bytes = 128UL * 1024;
  body_limits.large_bytes = 64UL * 1024;
  BodyBudget budget(clock, body_limits);
  HttpServerLimits limits;
  limits.body_budget = &budget;
  ServerFixture fixture(limits);
  constexpr std::size_t kBodyBytes = 100'000;
  const RawConnection connection(fixture.server->port());
  connection.Write("POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
                   std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'x'));
  const std::string answer = connection.ReadToEnd();
  cr_expect(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
  cr_expect(answer.find("Retry-After: 1\r\n") != std::string::npos);
  cr_expect(answer.find(R"("verdict":"not run")") != std::string::npos);
  cr_expect(fixture.ServesFurtherCalls());
}

// Bodies that stop just short of their end and stay open must not keep others out.
Test(http_server, body_that_stops_short_is_closed_to_make_room) {
  const BootClock clock;
  BodyBudgetLimits body_limits;
  body_limits.total_bytes = 200UL * 1024;
  body_limits.large_bytes = 150UL * 1024;
  BodyBudget budget(clock, body_limits);
  HttpServerLimits limits;
  limits.body_budget = &budget;
  ServerFixture fixture(limits);
  const RawConnection stalled(fixture.server->port());
  stalled.Write("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n" +
                std::string(100'000, 'x'));
  while (budget.stats().held_bytes < 100'000) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  cr_expect(fixture.Post(std::string(100'000, 'y')).status == HttpStatus::kOk);
  cr_expect(IsRefusedOrClosed(stalled.ReadToEnd()));
  cr_expect_eq(budget.stats().evicted, 1);
}

Test(http_server, headers_above_limit_are_refused) {
  ServerFixture fixture;
  const std::string answer = fixture.SendAndReadToEnd(
      "GET /echo HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(64'000, 'x') + "\r\n\r\n");
  cr_expect(IsRefusedOrClosed(answer), "%s", answer.c_str());
  cr_expect(fixture.ServesFurtherCalls());
}

Test(http_server, incomplete_request_is_closed_and_further_calls_are_served) {
  ServerFixture fixture(LimitsWithShortIdleTimeout());
  const RawConnection half_head(fixture.server->port());
  half_head.Write("POST /echo HTT");
  const RawConnection half_body(fixture.server->port());
  half_body.Write("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf");
  cr_expect(fixture.ServesFurtherCalls());
  cr_expect(IsRefusedOrClosed(half_head.ReadToEnd()));
  cr_expect(IsRefusedOrClosed(half_body.ReadToEnd()));
  cr_expect(fixture.ServesFurtherCalls());
}

Test(http_server, slow_request_beyond_its_timeout_is_closed) {
  HttpServerLimits limits;
  limits.request_timeout = Milliseconds(1'000);
  ServerFixture fixture(limits);
  const RawConnection slow_connection(fixture.server->port());
  bool open =
      slow_connection.Write("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n");
  // Sending all of these bytes would take far longer than the timeout.
  for (int bytes_sent = 0; bytes_sent < 2'000 && open; ++bytes_sent) {
    open = slow_connection.Write("x");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  cr_expect_not(open);
  cr_expect(fixture.ServesFurtherCalls());
}

Test(http_server, handler_slower_than_request_timeout_still_responds) {
  HttpServerLimits limits;
  limits.request_timeout = Milliseconds(500);
  absl::StatusOr<std::unique_ptr<HttpServer>> server =
      HttpServer::Create("127.0.0.1", 0, limits, [](const HttpRequest& /*request*/) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
        return HttpResponse{};
      });
  cr_assert(server.ok());
  HttpClient client;
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string((*server)->port()) + "/slow";
  call.timeout = kCallTimeout;
  cr_expect(client.Send(call).result == HttpCallResult::kAnswered);
}

Test(http_server, close_after_responses_ends_kept_connections) {
  ServerFixture fixture;
  const RawConnection kept_connection(fixture.server->port());
  const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
  kept_connection.Write(request);
  cr_assert(kept_connection.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
  fixture.server->CloseAfterResponses();
  kept_connection.Write(request);
  const std::string last_connection = kept_connection.ReadToEnd();
  cr_expect(last_connection.starts_with("HTTP/1.1 200"), "%s", last_connection.c_str());
  cr_expect(last_connection.find("Connection: close") != std::string::npos, "%s",
            last_connection.c_str());
}

Test(http_server, connection_above_limit_is_closed_until_another_ends) {
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
    cr_expect(fixture.SendAndReadToEnd("GET /a HTTP/1.1\r\nHost: a\r\n\r\n").empty());
  }
  // The server does not notice closed connections at once.
  bool served = false;
  for (int attempt = 0; attempt < 200 && !served; ++attempt) {
    served = fixture.ServesFurtherCalls();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  cr_expect(served);
}

Test(http_server, truncated_or_missing_response_is_unclear) {
  absl::StatusOr<std::unique_ptr<HttpServer>> server =
      HttpServer::Create("127.0.0.1", 0, HttpServerLimits{}, [](const HttpRequest& request) {
        HttpResponse response;
        response.body = R"({"a":"a long enough body"})";
        response.delivery = request.path == "/cut" ? HttpDelivery::kTruncated : HttpDelivery::kNone;
        return response;
      });
  cr_assert(server.ok());
  HttpClient client;
  for (const char* path : {"/cut", "/none"}) {
    HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string((*server)->port()) + path;
    call.timeout = kCallTimeout;
    cr_expect(client.Send(call).result == HttpCallResult::kUnclear, "%s", path);
  }
}

}  // namespace papayalift
