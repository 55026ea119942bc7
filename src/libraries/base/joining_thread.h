/// One thread with one duty, on ACE's thread manager.
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

  /// Starts the thread. `duty` returns when its owner has told it to end.
  void Start(std::function<void()> body);

  /// Waits until the duty has returned.
  void Join();

 private:
  class Task;
  std::unique_ptr<Task> m_task;
};

}  // namespace papayalift
