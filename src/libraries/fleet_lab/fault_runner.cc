#include "libraries/fleet_lab/fault_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace papayalift {

FaultRunner::FaultRunner(LabContext& context, FaultActions& actions, std::vector<FaultStep> steps)
    : m_context(context), m_actions(actions), m_steps(std::move(steps)) {
  for (std::size_t index = 0; index < m_steps.size(); ++index) {
    m_events.push_back(Event{m_steps[index].at, index, Edge::kBegin});
    if (m_steps[index].duration > Milliseconds(0)) {
      m_events.push_back(Event{m_steps[index].at + m_steps[index].duration, index, Edge::kEnd});
    }
  }
  std::stable_sort(m_events.begin(), m_events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
}

void FaultRunner::Start() {
  m_thread.Start([this] { Run(); });
}

void FaultRunner::Join() { m_thread.Join(); }

void FaultRunner::Run() {
  const Milliseconds started_at = m_context.clock.Now();
  for (const Event& event : m_events) {
    const Milliseconds due = started_at + event.at;
    const Milliseconds now = m_context.clock.Now();
    if (due > now) {
      m_context.stop.WaitFor(due - now);
    }
    if (m_context.stop.raised()) {
      return;
    }
    Execute(event);
  }
}

void FaultRunner::Execute(const Event& event) {
  const FaultStep& step = m_steps[event.step];
  const bool begins = event.edge == Edge::kBegin;
  const absl::Status carried =
      begins ? m_actions.Begin(event.step, step) : m_actions.End(event.step, step);
  m_steps_done += begins ? 1 : 0;
  if (!carried.ok()) {
    m_failures.push_back(fmt::format("step {} at {} ms, {}: {}", event.step + 1, event.at.count(),
                                     begins ? "begin" : "end", std::string(carried.message())));
  }
}

}  // namespace papayalift
