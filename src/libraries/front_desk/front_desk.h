/// Answers consumers on any node: submits, cancels and looks up jobs in the store.
#pragma once

#include <memory>

#include "libraries/front_desk/clear_commit.h"
#include "libraries/front_desk/job_request.h"
#include "libraries/leader/manifest_view.h"
#include "libraries/loop/timers.h"
#include "libraries/metrics/metrics.h"
#include "libraries/work/fleet_schema.h"
#include "libraries/work/store_port.h"

namespace papayalift {

class FrontDesk {
 public:
  FrontDesk(Timers& timers, StorePort& store, const FleetSchema& directory, ManifestView& view,
            Metrics& metrics);

  /// `reply` is called once, well within the request's budget.
  void Handle(JobRequest request, JobReplyCallback reply);

 private:
  /// A request with what is known of it so far.
  struct Exchange {
    JobRequest request;
    JobReplyCallback reply;
    Milliseconds arrived_at{0};
    Milliseconds deadline{0};
    QueueSpec queue;
    WorkspaceId workspace;
    JobId job;
    int rounds = 0;
  };
  using ExchangePointer = std::shared_ptr<Exchange>;

  void Route(const ExchangePointer& exchange);
  bool Authorize(const ExchangePointer& exchange, const FleetManifest& manifest);
  void Submit(const ExchangePointer& exchange);
  /// After a write whose success puts `own_key` into the store.
  void OnWritten(const ExchangePointer& exchange, const WriteResult& result,
                 const std::string& own_key, JobReplyKind done);
  void Ask(const ExchangePointer& exchange);
  void AskPending(const ExchangePointer& exchange);
  void Cancel(const ExchangePointer& exchange);
  void OnFound(const ExchangePointer& exchange, const ReadAnswer& accepted);
  void WriteCancel(const ExchangePointer& exchange, const StoreItem& accepted);
  void Finish(const ExchangePointer& exchange, JobReply reply);
  void Refuse(const ExchangePointer& exchange, JobReplyKind kind, const std::string& detail);

  Timers& m_timers;
  StorePort& m_store;
  const FleetSchema& m_directory;
  ManifestView& m_view;
  Metrics& m_metrics;
};

}  // namespace papayalift
