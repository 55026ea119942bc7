#include "capacity/wire_costs.h"

#include <curl/curl.h>

#include <memory>
#include <vector>

#include "capacity/cost_meter.h"
#include "capacity/target_fleet.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"
#include "libraries/store/etcd_codec.h"
#include "libraries/store/etcd_gateway_client.h"
#include "libraries/worker/http_worker_gateway.h"
#include "libraries/worker/worker_codec.h"
#include "stand_ins/platform/gateway_requests.h"
#include "stand_ins/platform/platform_stand_in.h"
#include "stand_ins/worker/worker_stand_in.h"

namespace papayalift {

namespace {

constexpr int kRounds = 400;
constexpr Milliseconds kLimit{2'000};

struct CurlCleanup {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};

std::size_t DropBody(char* /*bytes*/, std::size_t size, std::size_t count, void* /*target*/) {
  return size * count;
}

/// Size of the headers of one POST request and its reply, as written by curl and libmicrohttpd.
double HttpHeaderBytes(const std::string& url) {
  const std::unique_ptr<CURL, CurlCleanup> handle(curl_easy_init());
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
      curl_slist_append(nullptr, "Content-Type: application/json"), curl_slist_free_all);
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, "");
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, DropBody);
  curl_easy_perform(handle.get());
  long request_bytes = 0;
  long reply_bytes = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo(handle.get(), CURLINFO_HEADER_SIZE, &reply_bytes);
  return static_cast<double>(request_bytes + reply_bytes);
}

double RenewalBytes(int attempts, double header_bytes) {
  RenewRequest request;
  std::vector<AttemptReport> reports;
  for (int number = 0; number < attempts; ++number) {
    AttemptReport report;
    report.attempt = MakeJobRecord(number).attempt_id;
    request.attempts.push_back(report.attempt);
    reports.push_back(report);
  }
  return static_cast<double>(EncodeRenew(request).size() + EncodeReports(reports).size()) +
         header_bytes;
}

void MeasureRenewal(WireCosts& costs) {
  const std::unique_ptr<WorkerStandIn> worker =
      *WorkerStandIn::Create("127.0.0.1", 0, AcceleratorCount(2));
  const double header_bytes =
      HttpHeaderBytes("http://127.0.0.1:" + std::to_string(worker->port()) + "/v1/renew");
  costs.renewal_bytes = RenewalBytes(1, header_bytes);
  costs.renewal_bytes_per_attempt = RenewalBytes(2, header_bytes) - costs.renewal_bytes;
  HttpWorkerGateway gateway(kLimit, std::make_shared<HttpClient>());
  RenewRequest request;
  request.worker = WorkerTarget{WorkerId("worker"), "127.0.0.1:" + std::to_string(worker->port())};
  request.attempts.push_back(MakeJobRecord(0).attempt_id);
  costs.renewal_us = MinMicroseconds(kRounds, [&] { gateway.Renew({request}); });
}

void MeasureStore(WireCosts& costs) {
  const std::unique_ptr<PlatformStandIn> platform = *PlatformStandIn::Create("127.0.0.1", 0);
  EtcdGatewayClient client("127.0.0.1:" + std::to_string(platform->port()), kLimit,
                           std::make_shared<HttpClient>());
  const JobRecord job = MakeJobRecord(0);
  const std::string key = keys::JobKey(job.id);
  costs.transaction_us = MinMicroseconds(kRounds, [&] {
    Transaction transaction;
    transaction.Put(key, EncodeJob(job));
    client.Commit(transaction);
  });
  costs.range_us = MinMicroseconds(kRounds, [&] { client.Range(SingleKey(key)).IgnoreError(); });
}

void MeasureWatch(WireCosts& costs) {
  const JobRecord job = MakeJobRecord(0);
  WatchBatch batch;
  batch.revision = Revision(1'000'000);
  batch.events.push_back(
      WatchEvent{ChangeKind::kPut, KeyValue{keys::JobKey(job.id), EncodeJob(job), batch.revision}});
  const std::string line = WriteWatchBatch(batch);
  costs.watch_event_bytes = static_cast<double>(line.size());
  costs.watch_event_us = MinMicroseconds(kRounds, [&line] { DecodeWatchLine(line).IgnoreError(); });
}

}  // namespace

WireCosts MeasureWireCosts() {
  WireCosts costs;
  MeasureRenewal(costs);
  MeasureStore(costs);
  MeasureWatch(costs);
  return costs;
}

}  // namespace papayalift
