#include "libraries/lab/fake_fleet.h"

namespace papayalift {

FakeFleet::FakeFleet(const Bundle& bundle) : m_failing(bundle.workers.size(), false) {
  for (const WorkerSpec& worker : bundle.workers) {
    m_positions[worker.id] = static_cast<int>(m_views.size());
    WorkerView view;
    view.id = worker.id;
    view.zone = worker.zone;
    view.rack = worker.rack;
    view.accelerators = worker.accelerators;
    m_views.push_back(view);
    m_free.push_back(AcceleratorSet::First(worker.accelerators));
  }
}

int FakeFleet::Hold(const std::vector<TaskPlacement>& tasks) {
  int conflicts = 0;
  for (const TaskPlacement& task : tasks) {
    const int position = PositionOf(task.worker);
    if (position < 0 || !m_free[position].Contains(task.accelerators)) {
      ++conflicts;
    }
    if (position >= 0) {
      m_free[position] = m_free[position].Without(task.accelerators);
    }
  }
  return conflicts;
}

void FakeFleet::Release(const std::vector<TaskPlacement>& tasks) {
  for (const TaskPlacement& task : tasks) {
    const int position = PositionOf(task.worker);
    if (position >= 0) {
      m_free[position] = m_free[position].Union(task.accelerators);
    }
  }
}

int FakeFleet::FailingWorkerOf(const std::vector<TaskPlacement>& tasks) const {
  for (const TaskPlacement& task : tasks) {
    const int position = PositionOf(task.worker);
    if (position >= 0 && m_failing[position]) {
      return position;
    }
  }
  return -1;
}

void FakeFleet::PassCanary(const std::vector<TaskPlacement>& tasks) {
  for (const TaskPlacement& task : tasks) {
    const int position = PositionOf(task.worker);
    if (position >= 0 && m_views[position].health == WorkerHealth::kProbation) {
      m_views[position].health = WorkerHealth::kHealthy;
    }
  }
}

bool FakeFleet::AnyOnProbation(const std::vector<TaskPlacement>& tasks) const {
  for (const TaskPlacement& task : tasks) {
    const int position = PositionOf(task.worker);
    if (position >= 0 && m_views[position].health == WorkerHealth::kProbation) {
      return true;
    }
  }
  return false;
}

const WorkerView* FakeFleet::Find(const WorkerId& worker) const {
  const int position = PositionOf(worker);
  return position < 0 ? nullptr : &m_views[position];
}

AcceleratorCount FakeFleet::InService(const ZoneTable& zones) const {
  AcceleratorCount count{0};
  for (const WorkerView& view : m_views) {
    if (zones.StateOf(view.zone) == ZoneState::kIn) {
      count += view.accelerators;
    }
  }
  return count;
}

AcceleratorCount FakeFleet::FreeInService(const ZoneTable& zones) const {
  AcceleratorCount count{0};
  for (std::size_t position = 0; position < m_views.size(); ++position) {
    if (zones.StateOf(m_views[position].zone) == ZoneState::kIn) {
      count += m_free[position].Count();
    }
  }
  return count;
}

AcceleratorCount FakeFleet::UsableBy(const Shape& shape, const ZoneTable& zones) const {
  std::map<ZoneId, int> tasks;
  for (std::size_t position = 0; position < m_views.size(); ++position) {
    if (zones.StateOf(m_views[position].zone) == ZoneState::kIn) {
      tasks[m_views[position].zone] += TasksOn(position, shape);
    }
  }
  int usable = 0;
  for (const auto& [zone, count] : tasks) {
    usable += count / shape.tasks.value() * shape.Total().value();
  }
  return AcceleratorCount(usable);
}

int FakeFleet::TasksOn(std::size_t position, const Shape& shape) const {
  AcceleratorSet free = m_free[position];
  int tasks = 0;
  while (free.Count() >= shape.accelerators_per_task) {
    const std::optional<AcceleratorSet> run = free.FindBestFit(shape.accelerators_per_task);
    if (!run) {
      break;
    }
    free = free.Without(*run);
    ++tasks;
  }
  return tasks;
}

int FakeFleet::PositionOf(const WorkerId& worker) const {
  const auto found = m_positions.find(worker);
  return found == m_positions.end() ? -1 : found->second;
}

}  // namespace papayalift
