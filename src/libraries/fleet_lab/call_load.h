/// Calls at a steady rate over all healthy entry nodes.
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
  /// For a storm and its end.
  void SetRate(int calls_per_second) { m_rate = calls_per_second; }
  int usual_rate() const { return m_spec.calls_per_second; }
  /// Waits until every call has been answered.
  void Join();

 private:
  void Run(int caller);
  /// False where the load has ended.
  bool WaitForTurn();
  void CallOnce(std::mt19937_64& random);

  LabContext& m_context;
  const LoadSpec m_spec;
  std::atomic<int> m_rate;
  std::atomic<std::int64_t> m_next_id{0};
  /// When the next call is due, microseconds on the boot clock.
  std::atomic<std::int64_t> m_next_due_us{0};
  std::vector<std::unique_ptr<JoiningThread>> m_threads;
};

}  // namespace papayalift
