#include "libraries/job_requests/commit_with_retries.h"

#include <algorithm>
#include <utility>

namespace papayalift {

namespace {

constexpr Milliseconds kRetryDelay{60};
/// Time that the write gets even if the deadline is nearer.
constexpr Milliseconds kMinTimeout{100};

class CommitRetrier : public std::enable_shared_from_this<CommitRetrier> {
 public:
  CommitRetrier(Timers& timers, StorePort& store, Transaction transaction, Milliseconds deadline,
                std::function<void(WriteResult)> callback)
      : m_timers(timers),
        m_store(store),
        m_transaction(std::move(transaction)),
        m_deadline(deadline),
        m_callback(std::move(callback)) {}

  void Start() {
    const Milliseconds remaining = m_deadline - m_timers.clock().Now();
    m_deadline_timer =
        m_timers.After(std::max(remaining, kMinTimeout), [self = shared_from_this()] {
          self->Finish(WriteResult{
              WriteOutcome::kUnclear, {}, "the store did not answer before the deadline"});
        });
    Send();
  }

 private:
  void Send() {
    m_store.Commit(m_transaction, [self = shared_from_this()](const CommitAnswer& answer) {
      self->OnAnswer(answer);
    });
  }

  void OnAnswer(const CommitAnswer& answer) {
    if (m_is_finished) {
      return;
    }
    switch (answer.result) {
      case TransactionResult::kApplied:
        Finish(WriteResult{WriteOutcome::kStored, {}, "", answer.revision});
        return;
      case TransactionResult::kConflict:
        Finish(WriteResult{WriteOutcome::kConflict, answer.items, ""});
        return;
      case TransactionResult::kNotSent:
        if (!m_may_have_applied) {
          Finish(WriteResult{WriteOutcome::kNotSent, {}, answer.error});
          return;
        }
        break;
      case TransactionResult::kUnclear:
        m_may_have_applied = true;
        break;
    }
    if (m_timers.clock().Now() + kRetryDelay >= m_deadline) {
      Finish(WriteResult{WriteOutcome::kUnclear, {}, answer.error});
      return;
    }
    m_timers.After(kRetryDelay, [self = shared_from_this()] {
      if (!self->m_is_finished) {
        self->Send();
      }
    });
  }

  void Finish(const WriteResult& result) {
    if (!m_is_finished) {
      m_is_finished = true;
      m_timers.Cancel(m_deadline_timer);
      m_callback(result);
    }
  }

  Timers& m_timers;
  StorePort& m_store;
  const Transaction m_transaction;
  const Milliseconds m_deadline;
  const std::function<void(WriteResult)> m_callback;
  bool m_may_have_applied = false;
  bool m_is_finished = false;
  TimerId m_deadline_timer = 0;
};

}  // namespace

void CommitWithRetries(Timers& timers, StorePort& store, const Transaction& transaction,
                       Milliseconds deadline, std::function<void(WriteResult)> callback) {
  std::make_shared<CommitRetrier>(timers, store, transaction, deadline, std::move(callback))
      ->Start();
}

}  // namespace papayalift
