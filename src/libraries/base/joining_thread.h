/// A thread that is joined on destruction, run by ACE's thread manager.
#pragma once

#include <functional>
#include <memory>

namespace papayalift {

class JoiningThread {
 public:
  JoiningThread();
  ~JoiningThread();
  JoiningThread(const JoiningThread&) = delete;
  JoiningThread& operator=(const JoiningThread&) = delete;

  /// Starts the thread. `body` must return once its owner has requested a stop.
  void Start(std::function<void()> body);

  /// Waits until `body` has returned.
  void Join();

 private:
  class Task;
  std::unique_ptr<Task> m_task;
};

}  // namespace papayalift
