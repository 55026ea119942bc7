/// Generates calls at a fixed rate, spread over all healthy entry nodes.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "libraries/base/joining_thread.h"
#include "libraries/fleet_lab/fault_file.h"
#include "libraries/fleet_lab/lab_context.h"

namespace papayalift {

class CallLoad {
 public:
  CallLoad(LabContext& context, const LoadSpec& spec);
  ~CallLoad();

  void Start();
  /// Overrides the rate, as a call storm does at its start and end.
  void SetRate(int calls_per_second) { m_rate = calls_per_second; }
  int usual_rate() const { return m_spec.calls_per_second; }
  /// Blocks until every call has completed. Requires that the stop signal is raised.
  void Join();

 private:
  void Run(int caller);
  /// Blocks until the next call is due. Returns false once the load has stopped.
  bool WaitForTurn();
  void CallOnce(std::mt19937_64& random);

  LabContext& m_context;
  const LoadSpec m_spec;
  std::atomic<int> m_rate;
  std::atomic<std::int64_t> m_next_id{0};
  /// Due time of the next call, in microseconds on the boot clock.
  std::atomic<std::int64_t> m_next_due_us{0};
  std::vector<std::unique_ptr<JoiningThread>> m_threads;
};

}  // namespace papayalift
