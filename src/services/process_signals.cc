#include "services/process_signals.h"

#include <ace/Event_Handler.h>
#include <ace/Sig_Handler.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

namespace papayalift {

namespace {

std::atomic<int> termination_count{0};
std::atomic<int> reload_count{0};
std::atomic<int> wake_descriptor{-1};

class CountingHandler final : public ACE_Event_Handler {
 public:
  int handle_signal(int number, siginfo_t* /*info*/, ucontext_t* /*context*/) override {
    ++(number == SIGHUP ? reload_count : termination_count);
    if (const int descriptor = wake_descriptor.load(); descriptor >= 0) {
      // A full pipe wakes the reader as well, so the result is ignored.
      static_cast<void>(!write(descriptor, "", 1));
    }
    return 0;
  }
};

}  // namespace

void ProcessSignals::Install() {
  static CountingHandler handler;
  static ACE_Sig_Handler signals;
  signals.register_handler(SIGTERM, &handler);
  signals.register_handler(SIGINT, &handler);
  signals.register_handler(SIGHUP, &handler);
  std::signal(SIGPIPE, SIG_IGN);
}

void ProcessSignals::SetWakeDescriptor(int descriptor) { wake_descriptor = descriptor; }

int ProcessSignals::reloads() { return reload_count.load(); }

int ProcessSignals::terminations() { return termination_count.load(); }

bool ProcessSignals::WaitForTerminations(int wanted, Milliseconds limit) {
  constexpr Milliseconds kPollInterval{50};
  Milliseconds waited{0};
  while (terminations() < wanted && waited < limit) {
    std::this_thread::sleep_for(kPollInterval);
    waited += kPollInterval;
  }
  return terminations() >= wanted;
}

}  // namespace papayalift
