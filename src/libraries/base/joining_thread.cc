#include "libraries/base/joining_thread.h"

#include <ace/Task.h>

#include <utility>

namespace papayalift {

class JoiningThread::Task final : public ACE_Task_Base {
 public:
  int svc() override {
    m_body();
    return 0;
  }

  std::function<void()> m_body;
};

JoiningThread::JoiningThread() : m_task(std::make_unique<Task>()) {}

JoiningThread::~JoiningThread() { Join(); }

void JoiningThread::Start(std::function<void()> body) {
  m_task->m_body = std::move(body);
  m_task->activate(THR_NEW_LWP | THR_JOINABLE | THR_INHERIT_SCHED);
}

void JoiningThread::Join() { m_task->wait(); }

}  // namespace papayalift
