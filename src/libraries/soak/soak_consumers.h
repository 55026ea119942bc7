/// The consumers of a soak: they submit jobs, query them, cancel some, and record each answer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "libraries/http/async_http_client.h"
#include "libraries/soak/soak_checks.h"
#include "libraries/soak/soak_job.h"

namespace papayalift {

struct SoakConsumerSettings {
  std::uint64_t seed = 1;
  /// "http://IP:port" of each node, as consumers reach it.
  std::vector<std::string> nodes;
  /// "http://IP:port/stand-in/" of the stand-in.
  std::string control;
  Milliseconds mean_gap{120};
  SoakBounds bounds = SoakBounds::kTimed;
};

/// Whether a node had no fault between two times that may interrupt a request.
using WasFaultFree = std::function<bool(std::size_t node, Milliseconds from, Milliseconds until)>;

class SoakConsumers {
 public:
  SoakConsumers(EventLoop& loop, AsyncHttpClient& http, SoakConsumerSettings settings,
                WasFaultFree was_fault_free);

  void Start();
  /// Stops submitting jobs; submitted jobs are still queried until they have ended.
  void StopSubmitting() { m_is_submitting = false; }
  /// Sets the API key of new requests.
  void UseKey(std::string key) { m_key = std::move(key); }

  bool AllSettled() const;
  std::vector<SoakJob> Jobs() const;
  const std::vector<std::string>& broken() const { return m_broken; }
  /// Number of requests that were answered, and that were not.
  int answered() const { return m_answered; }
  int unanswered() const { return m_unanswered; }

 private:
  struct Answer {
    /// 0 if there was no answer.
    int status = 0;
    std::string body;
    std::size_t node = 0;
    Milliseconds sent_at{0};
  };

  void SubmitLater();
  void MakeJob();
  /// Registers the job's demands with the stand-in, then submits the job.
  void RegisterWithStandIn(const JobId& id, Milliseconds duration);
  void Submit(const JobId& id);
  void OnSubmitted(const JobId& id, const Answer& answer);
  void QueryLater(const JobId& id);
  void Query(const JobId& id);
  void OnQueried(const JobId& id, const Answer& answer);
  void Cancel(const JobId& id);
  void OnCancelled(const JobId& id, const Answer& answer);
  void Send(HttpMethod method, const JobId& id, const std::string& body,
            void (SoakConsumers::*take)(const JobId&, const Answer&));
  void NoteUnanswered(const JobId& id, const Answer& answer, const std::string& error);
  void RecordBroken(const JobId& id, const std::string& what);
  int Number(int least, int most);
  Milliseconds Now() const { return m_loop.clock().Now(); }

  EventLoop& m_loop;
  AsyncHttpClient& m_http;
  const SoakConsumerSettings m_settings;
  const WasFaultFree m_was_fault_free;
  std::mt19937_64 m_random;
  std::string m_key = "key-1";
  bool m_is_submitting = true;
  std::map<JobId, SoakJob> m_jobs;
  std::vector<std::string> m_broken;
  int m_answered = 0;
  int m_unanswered = 0;
};

}  // namespace papayalift
