#include "stand_ins/fleet/store_wire.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "libraries/model/json_document.h"
#include "libraries/store/base64.h"

namespace papayalift {

namespace {

constexpr std::size_t kItemsPerPage = 500;
constexpr Milliseconds kWatchPollInterval{10};
constexpr Milliseconds kLateTransactionDelay{2'500};
/// Longer than any caller's timeout.
constexpr Milliseconds kSilentConnectionTimeout{8'000};

std::string QueryValue(const HttpRequest& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

std::int64_t QueryNumber(const HttpRequest& request, const std::string& name) {
  const std::string text = QueryValue(request, name);
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

HttpResponse Answer(const Json& body, HttpStatus status = HttpStatus::kOk) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

Json EncodeItem(const StoreItem& item) {
  return Json{{"key", item.key},
              {"value", EncodeBase64(item.value)},
              {"revision", item.revision.value()},
              {"created", item.create_revision.value()}};
}

/// Throws the JSON library's exceptions.
Transaction DecodeTransaction(const Json& json) {
  Transaction transaction;
  for (const Json& row : json.value("expectedRev", Json::array())) {
    transaction.Expect(row.at("key").get<std::string>(),
                       Revision(row.at("revision").get<std::int64_t>()));
  }
  for (const Json& row : json.value("write", Json::array())) {
    transaction.PutUnderLease(row.at("key").get<std::string>(),
                              DecodeBase64(row.at("value").get<std::string>()).value_or(""),
                              StoreLease(row.value("lease", std::int64_t{0})));
  }
  for (const Json& key : json.value("remove", Json::array())) {
    transaction.Delete(key.get<std::string>());
  }
  return transaction;
}

HttpResponse AnswerOf(const CommitAnswer& answer) {
  if (answer.result == TransactionResult::kApplied) {
    return Answer(Json{{"revision", answer.revision.value()}});
  }
  if (answer.result == TransactionResult::kNotSent) {
    return Answer(Json::object(), HttpStatus::kNotFound);
  }
  Json items = Json::array();
  for (const StoreItem& item : answer.items) {
    items.push_back(item.revision.value() == 0 ? Json{{"key", item.key}, {"revision", 0}}
                                               : EncodeItem(item));
  }
  return Answer(Json{{"items", items}}, HttpStatus::kPreconditionFailed);
}

/// Simulates a lost response: the connection stays silent, then closes.
void CloseLater(Timers& timers, const HttpResponder& respond) {
  timers.After(kSilentConnectionTimeout, [respond] {
    HttpResponse nothing;
    nothing.delivery = HttpDelivery::kNone;
    respond(std::move(nothing));
  });
}

}  // namespace

void StoreWire::Handle(const HttpRequest& request, const HttpResponder& respond) {
  try {
    if (request.path == "/kv-key") {
      HandleKey(request, respond);
    } else if (request.path == "/kv-range") {
      HandleRange(request, respond);
    } else if (request.path == "/kv-watch") {
      HandleWatch(request, respond);
    } else if (request.path == "/kv-txn") {
      HandleTransaction(request, respond);
    } else {
      HandleLease(request, respond);
    }
  } catch (const nlohmann::json::exception& error) {
    respond(Answer(Json{{"error", error.what()}}, HttpStatus::kBadRequest));
  }
}

void StoreWire::HandleKey(const HttpRequest& request, const HttpResponder& respond) {
  const StoreItem* const item = m_store.Find(QueryValue(request, "key"));
  if (item == nullptr) {
    respond(Answer(Json::object(), HttpStatus::kNotFound));
    return;
  }
  Json body = EncodeItem(*item);
  body["at"] = m_store.revision().value();
  respond(Answer(body));
}

void StoreWire::HandleRange(const HttpRequest& request, const HttpResponder& respond) {
  const std::string after = QueryValue(request, "after");
  Json body{{"items", Json::array()}, {"hasMore", false}, {"at", m_store.revision().value()}};
  for (const StoreItem& item : m_store.ItemsBelow(QueryValue(request, "prefix"))) {
    if (!after.empty() && item.key <= after) {
      continue;
    }
    if (body["items"].size() == kItemsPerPage) {
      body["hasMore"] = true;
      break;
    }
    body["items"].push_back(EncodeItem(item));
  }
  respond(Answer(body));
}

void StoreWire::HandleWatch(const HttpRequest& request, const HttpResponder& respond) {
  PollWatch(QueryValue(request, "prefix"), Revision(QueryNumber(request, "after")),
            m_timers.clock().Now() + Milliseconds(QueryNumber(request, "waitMs")), respond);
}

void StoreWire::PollWatch(const std::string& prefix, Revision after, Milliseconds until,
                          const HttpResponder& respond) {
  const std::optional<std::vector<WatchedChange>> changes = m_store.ChangesAfter(prefix, after);
  if (!changes.has_value()) {
    respond(Answer(Json::object(), HttpStatus::kGone));
    return;
  }
  if (changes->empty() && m_timers.clock().Now() < until) {
    m_timers.After(kWatchPollInterval, [this, prefix, after, until, respond] {
      PollWatch(prefix, after, until, respond);
    });
    return;
  }
  Json body{{"events", Json::array()}, {"at", m_store.revision().value()}};
  for (const WatchedChange& change : *changes) {
    Json event = change.kind == WriteKind::kPut ? EncodeItem(change.item)
                                                : Json{{"key", change.item.key},
                                                       {"revision", change.item.revision.value()},
                                                       {"deleted", true}};
    body["events"].push_back(std::move(event));
  }
  respond(Answer(body));
}

void StoreWire::HandleTransaction(const HttpRequest& request, const HttpResponder& respond) {
  const Transaction transaction =
      DecodeTransaction(Json::parse(request.body.empty() ? "{}" : request.body));
  switch (TakeFault(transaction)) {
    case StoreCallFault::kNone:
      respond(AnswerOf(m_store.Apply(transaction)));
      return;
    case StoreCallFault::kBusy:
      respond(Answer(Json::object(), HttpStatus::kUnavailable));
      return;
    case StoreCallFault::kAnswerLost:
      m_store.Apply(transaction);
      CloseLater(m_timers, respond);
      return;
    case StoreCallFault::kLate:
      m_timers.After(kLateTransactionDelay, [this, transaction] { m_store.Apply(transaction); });
      CloseLater(m_timers, respond);
      return;
  }
}

StoreCallFault StoreWire::TakeFault(const Transaction& transaction) {
  const bool is_meant =
      m_faulty_prefix.empty() ||
      std::any_of(transaction.writes().begin(), transaction.writes().end(),
                  [this](const Write& write) { return write.key.starts_with(m_faulty_prefix); });
  if (m_faults.empty() || !is_meant) {
    return StoreCallFault::kNone;
  }
  const StoreCallFault fault = m_faults.front();
  m_faults.pop_front();
  return fault;
}

void StoreWire::HandleLease(const HttpRequest& request, const HttpResponder& respond) {
  if (request.path == "/kv-lease") {
    const std::int64_t time_to_live = Json::parse(request.body).at("ttlMs").get<std::int64_t>();
    const StoreLease lease = m_store.Grant(Milliseconds(time_to_live));
    respond(Answer(Json{{"lease", lease.value()}, {"ttlMs", time_to_live}}));
    return;
  }
  const std::size_t slash = request.path.rfind('/');
  std::int64_t number = 0;
  std::from_chars(request.path.data() + slash + 1, request.path.data() + request.path.size(),
                  number);
  if (request.method == HttpMethod::kDelete) {
    m_store.End(StoreLease(number));
    respond(Answer(Json::object()));
    return;
  }
  respond(m_store.KeepLeaseAlive(StoreLease(number))
              ? Answer(Json{{"ttlMs", 0}})
              : Answer(Json::object(), HttpStatus::kNotFound));
}

}  // namespace papayalift
