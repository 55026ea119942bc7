#include <criterion/criterion.h>

#include "libraries/http/http_client.h"
#include "libraries/store/etcd_gateway_client.h"
#include "libraries/worker/http_worker_gateway.h"
#include "stand_ins/control/control_codec.h"
#include "stand_ins/platform/platform_stand_in.h"
#include "stand_ins/worker/worker_stand_in.h"

namespace papayalift {

namespace {

constexpr char kLoopback[] = "127.0.0.1";
constexpr Milliseconds kTimeout{20'000};

struct ControlFixture {
  HttpOutcome Send(std::uint16_t port, const std::string& path, const std::string& body) {
    HttpCall call;
    call.method = body.empty() ? HttpMethod::kGet : HttpMethod::kPost;
    call.url = std::string("http://") + kLoopback + ":" + std::to_string(port) + path;
    call.body = body;
    call.timeout = kTimeout;
    return client->Send(call);
  }

  void Fault(std::uint16_t port, FaultKind kind, const std::string& path, int count) {
    FaultRule rule;
    rule.kind = kind;
    rule.path = path;
    rule.count = count;
    cr_assert(Send(port, "/control/faults", EncodeFaultOrder(FaultOrder{{rule}, 1})).status ==
              HttpStatus::kOk);
  }

  std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>();
};

Transaction PutOf(const std::string& key) {
  Transaction transaction;
  transaction.Expect(key, Revision(0)).Put(key, "value");
  return transaction;
}

}  // namespace

Test(platform_controls, lost_answer_of_a_write_leaves_the_write_done) {
  ControlFixture fixture;
  const std::unique_ptr<PlatformStandIn> platform = *PlatformStandIn::Create(kLoopback, 0);
  EtcdGatewayClient store("127.0.0.1:" + std::to_string(platform->port()), kTimeout,
                          fixture.client);
  fixture.Fault(platform->port(), FaultKind::kLoseAnswer, "/v3/kv/txn", 1);
  cr_expect(store.Commit(PutOf("a")).result != TransactionResult::kNotSent);
  cr_expect_eq(platform->store().Range(SingleKey("a"))->records.size(), 1);
}

Test(platform_controls, dropped_write_is_not_done) {
  ControlFixture fixture;
  const std::unique_ptr<PlatformStandIn> platform = *PlatformStandIn::Create(kLoopback, 0);
  fixture.Fault(platform->port(), FaultKind::kDrop, "/v3/kv/txn", 0);
  EtcdGatewayClient store("127.0.0.1:" + std::to_string(platform->port()), Milliseconds(500),
                          fixture.client);
  cr_expect(store.Commit(PutOf("a")).result != TransactionResult::kApplied);
  cr_expect(platform->store().Range(SingleKey("a"))->records.empty());
}

Test(platform_controls, broken_watch_ends) {
  ControlFixture fixture;
  const std::unique_ptr<PlatformStandIn> platform = *PlatformStandIn::Create(kLoopback, 0);
  EtcdGatewayClient store("127.0.0.1:" + std::to_string(platform->port()), kTimeout,
                          fixture.client);
  cr_assert(store.Commit(PutOf("a")).result == TransactionResult::kApplied);
  bool broken = false;
  const absl::Status ended =
      store.Watch(KeysWithPrefix("a"), Revision(1), [&](const WatchBatch& batch) {
        // The sink is also called periodically without events, even before the watch is open.
        if (!broken && !batch.events.empty()) {
          broken = true;
          fixture.Send(platform->port(), "/control/watches/break", "{}");
        }
        return true;
      });
  cr_expect(broken);
  cr_expect(!ended.ok());
}

Test(worker_controls, record_tells_starts_with_job_and_tasks) {
  ControlFixture fixture;
  const std::unique_ptr<WorkerStandIn> worker =
      *WorkerStandIn::Create(kLoopback, 0, AcceleratorCount(8));
  cr_assert(fixture
                .Send(worker->port(), "/v1/prepare",
                      R"({"job":"j","attempt":"a","tasks":[1,2],"reservation_lease_ms":20000})")
                .status == HttpStatus::kOk);
  const std::string start = R"({"attempt":"a","payload":"run 60s","run_lease_ms":60000})";
  fixture.Send(worker->port(), "/v1/start", start);
  fixture.Send(worker->port(), "/v1/start", start);
  const absl::StatusOr<WorkerRecord> record =
      DecodeWorkerRecord(fixture.Send(worker->port(), "/control/record?since=0", "").body);
  cr_assert(record.ok());
  cr_assert_eq(record->starts.size(), 1);
  cr_expect_eq(record->starts[0].job.text(), "j");
  cr_expect_eq(record->starts[0].tasks, 2);
  cr_expect_eq(record->running.size(), 1);
}

Test(worker_controls, forget_ends_tasks_and_refuses_late_starts) {
  ControlFixture fixture;
  const std::unique_ptr<WorkerStandIn> worker =
      *WorkerStandIn::Create(kLoopback, 0, AcceleratorCount(8));
  fixture.Send(worker->port(), "/v1/prepare",
               R"({"job":"j","attempt":"a","tasks":[1],"reservation_lease_ms":20000})");
  fixture.Send(worker->port(), "/control/forget", "{}");
  const HttpOutcome started =
      fixture.Send(worker->port(), "/v1/start", R"({"attempt":"a","payload":"run 1s"})");
  cr_expect(started.status == HttpStatus::kConflict);
  cr_expect(worker->agent().running().empty());
}

Test(controls, unknown_kind_of_fault_is_refused) {
  ControlFixture fixture;
  const std::unique_ptr<PlatformStandIn> platform = *PlatformStandIn::Create(kLoopback, 0);
  cr_expect(
      fixture.Send(platform->port(), "/control/faults", R"({"rules":[{"kind":"x"}]})").status ==
      HttpStatus::kBadRequest);
}

}  // namespace papayalift
