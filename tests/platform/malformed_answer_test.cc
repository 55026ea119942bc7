#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "libraries/base/boot_clock.h"
#include "libraries/http/async_http_server.h"
#include "libraries/log/json_log_sink.h"
#include "platform/kv_store_client.h"
#include "platform/minion_client.h"

namespace papayalift::platform {

namespace {

/// Bodies that are no JSON, of another shape, or have fields of another type.
constexpr const char* kBodies[] = {
    "",
    "\xff\xfe\x01",
    "{",
    "[]",
    "7",
    "null",
    R"({"lease":"x","ttlMs":[]})",
    R"({"lease":{},"revision":"1","at":"x","items":7,"events":{}})",
    R"({"items":[{"key":7}],"at":1})",
    R"({"items":[[],null,"x"],"hasMore":"yes"})",
    R"({"events":[7,null,{"key":[]}],"at":1})",
    R"({"key":{},"value":7})",
    R"({"clockMs":"x","active":[[1,2,3]],"ended":[[]]})",
    R"({"clockMs":1,"born":"x","active":{},"ended":7})",
    R"({"clockMs":1,"active":[["a.0.0.0",1,"",1e300]],"ended":[["x","y",1,2,3]]})",
    R"({"clockMs":1,"reason":[]})",
};

/// Clients of a server that gives the same answer to every call.
struct AnswerFixture {
  AnswerFixture(HttpStatus status, const std::string& body) {
    DisableLogging();
    server =
        AsyncHttpServer::Create(*loop, "127.0.0.1", 0, HttpServerLimits{},
                                [status, body](const HttpRequest&, const HttpResponder& answer) {
                                  HttpResponse response;
                                  response.status = status;
                                  response.body = body;
                                  answer(response);
                                })
            .value();
    address = "127.0.0.1:" + std::to_string(server->port());
    store = std::make_unique<KvStoreClient>(*loop, http, metrics, address);
  }

  /// Runs the loop until `count` callbacks were called.
  void Await(int count) {
    while (m_called < count) {
      loop->Run();
    }
  }
  void Called() {
    ++m_called;
    loop->Stop();
  }

  BootClock clock;
  std::unique_ptr<EventLoop> loop = EventLoop::Create(clock).value();
  Metrics metrics;
  AsyncHttpClient http{*loop, 10};
  std::unique_ptr<AsyncHttpServer> server;
  std::string address;
  std::unique_ptr<KvStoreClient> store;
  MinionClient minions{*loop, http, metrics};

 private:
  int m_called = 0;
};

}  // namespace

// One answer with a field of another type ended the process (an uncaught exception in the decoder
// of leases).
Test(platform_clients, malformed_store_answer_is_a_failed_call) {
  for (const char* const body : kBodies) {
    AnswerFixture fixture(HttpStatus::kOk, body);
    fixture.store->Commit(Transaction(), [&fixture, body](const CommitAnswer& answer) {
      cr_expect(answer.result == TransactionResult::kUnclear, "%s", body);
      fixture.Called();
    });
    fixture.store->Watch("p", Revision(1), Milliseconds(0), [&fixture](const WatchAnswer& answer) {
      cr_expect(answer.result == WatchResult::kFailed || answer.changes.empty());
      fixture.Called();
    });
    fixture.store->ReadAll("p", [&fixture](const ReadAnswer& answer) {
      cr_expect(answer.result == ReadResult::kFailed || answer.items.empty());
      fixture.Called();
    });
    fixture.store->Read("k", [&fixture](const ReadAnswer&) { fixture.Called(); });
    fixture.store->GrantLease(Milliseconds(1'000),
                              [&fixture](const LeaseAnswer&) { fixture.Called(); });
    fixture.store->RenewLease(StoreLease(1), [&fixture](const LeaseAnswer&) { fixture.Called(); });
    fixture.Await(6);
  }
}

Test(platform_clients, malformed_minion_answer_is_never_a_report) {
  for (const HttpStatus status : {HttpStatus::kOk, HttpStatus::kConflict}) {
    for (const char* const body : kBodies) {
      AnswerFixture fixture(status, body);
      const MinionAddress minion{MinionId("m"), fixture.address};
      fixture.minions.Hold(minion, HoldOrder{}, [&fixture, body](const HoldAnswer& answer) {
        cr_expect(answer.result != OrderResult::kDone || answer.report.active.size() <= 1, "%s",
                  body);
        fixture.Called();
      });
      fixture.minions.Start(minion, StartOrder{},
                            [&fixture](const OrderAnswer&) { fixture.Called(); });
      fixture.minions.Stop(minion, StopOrder{},
                           [&fixture](const OrderAnswer&) { fixture.Called(); });
      fixture.Await(3);
    }
  }
}

// Copies of a deeply nested document recursed until the stack was used up.
Test(platform_clients, deeply_nested_minion_answer_is_never_a_report) {
  constexpr int kDepth = 200'000;
  const std::string body =
      R"({"clockMs":1,"active":)" + std::string(kDepth, '[') + std::string(kDepth, ']') + "}";
  AnswerFixture fixture(HttpStatus::kOk, body);
  const MinionAddress minion{MinionId("m"), fixture.address};
  fixture.minions.Hold(minion, HoldOrder{}, [&fixture](const HoldAnswer& answer) {
    cr_expect(answer.result == OrderResult::kUnclear);
    fixture.Called();
  });
  fixture.Await(1);
}

// A number out of range was converted without a check, which is undefined.
Test(platform_clients, minion_answer_with_a_number_out_of_range_is_never_a_report) {
  for (const char* const body :
       {R"({"clockMs":1e300})", R"({"clockMs":-1})", R"({"clockMs":18446744073709551615})",
        R"({"clockMs":1,"born":1e300})",
        R"({"clockMs":1,"ended":[[9223372036854775808,"a.0.0.0",1,"done",""]]})",
        R"({"clockMs":1,"active":[["a.0.0.0",4294967297,"",1]]})"}) {
    AnswerFixture fixture(HttpStatus::kOk, body);
    const MinionAddress minion{MinionId("m"), fixture.address};
    fixture.minions.Hold(minion, HoldOrder{}, [&fixture, body](const HoldAnswer& answer) {
      cr_expect(answer.result == OrderResult::kUnclear, "%s", body);
      fixture.Called();
    });
    fixture.Await(1);
  }
}

}  // namespace papayalift::platform
