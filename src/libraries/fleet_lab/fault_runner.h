/// Executes the steps of a fault file on schedule, on a dedicated thread.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/joining_thread.h"
#include "libraries/fleet_lab/fault_actions.h"
#include "libraries/fleet_lab/fault_file.h"

namespace papayalift {

class FaultRunner {
 public:
  FaultRunner(LabContext& context, FaultActions& actions, std::vector<FaultStep> steps);
  ~FaultRunner() { Join(); }

  void Start();
  void Join();

  /// Errors of the steps that failed, one text each. Call only after Join().
  const std::vector<std::string>& failures() const { return m_failures; }
  int steps_done() const { return m_steps_done; }

 private:
  enum class Edge { kBegin, kEnd };
  struct Event {
    Milliseconds at{0};
    std::size_t step = 0;
    Edge edge = Edge::kBegin;
  };

  void Run();
  void Execute(const Event& event);

  LabContext& m_context;
  FaultActions& m_actions;
  const std::vector<FaultStep> m_steps;
  std::vector<Event> m_events;
  std::vector<std::string> m_failures;
  int m_steps_done = 0;
  JoiningThread m_thread;
};

}  // namespace papayalift
