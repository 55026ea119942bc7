/// Stand-ins for the review's scripts, in one program that needs only the standard library and
/// nlohmann-json:
///
///   stand_in store IP:PORT RECORD          the platform's store, and the minions' registry
///   stand_in minion ID IP:PORT STORE RECORD [GPU [ZONE [RACK]]]   one minion as a process
///   stand_in call METHOD URL [BODY] [HEADER]...    one HTTP request; prints "STATUS BODY"
///   stand_in now                           milliseconds of the clock used in RECORD
///
/// A minion is behind a partition from SIGUSR1 on until SIGUSR2: it works on, but no request
/// reaches it, none of its answers leave it, and its heartbeats do not reach the store. Requests
/// whose sender has closed the connection by the time the partition ends are lost.
///
/// On SIGTERM a minion is taken away as planned: it reports `draining`, goes on for 2.2 s after the
/// store has accepted that, removes its registration and exits.
///
/// RECORD is appended to: one line for each thing that callers, minions or the store have seen.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using Json = nlohmann::json;
using Lock = std::unique_lock<std::mutex>;

namespace {

std::int64_t SteadyNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time.tv_sec * 1'000LL + time.tv_nsec / 1'000'000;
}

std::int64_t WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int record_descriptor = -1;

/// Appends one line; a single write, so that lines of several processes do not mix.
void Record(const std::string& text) {
  const std::string line = std::to_string(SteadyNow()) + " " + text + "\n";
  if (record_descriptor >= 0) {
    [[maybe_unused]] const ssize_t written = write(record_descriptor, line.data(), line.size());
  }
}

void OpenRecord(const char* path) {
  record_descriptor = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

std::atomic<bool> is_cut_off{false};
std::atomic<bool> is_draining{false};

void Sleep(std::int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

// --- HTTP ---

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
};

sockaddr_in AddressOf(const std::string& text) {
  const std::size_t colon = text.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%' && index + 2 < text.size()) {
      plain += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
      index += 2;
    } else {
      plain += text[index];
    }
  }
  return plain;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char character) { return std::tolower(character); });
  return text;
}

/// Reads one message from `buffer` and the socket: its first line, headers and body.
bool ReadMessage(int socket, std::string& buffer, std::string& first, Request& request) {
  const auto fill = [&] {
    char bytes[16'384];
    const ssize_t count = recv(socket, bytes, sizeof bytes, 0);
    if (count > 0) {
      buffer.append(bytes, static_cast<std::size_t>(count));
    }
    return count > 0;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) {
      return false;
    }
  }
  std::string head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  first = head.substr(0, head.find("\r\n"));
  std::size_t begin = first.size() + 2;
  while (begin < head.size()) {
    const std::size_t line_end = head.find("\r\n", begin);
    const std::string line = head.substr(begin, line_end - begin);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      request.headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    begin = line_end + 2;
  }
  const auto length = request.headers.find("content-length");
  const std::size_t size = length == request.headers.end() ? 0 : std::stoul(length->second);
  while (buffer.size() < size) {
    if (!fill()) {
      return false;
    }
  }
  request.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return true;
}

void ParseTarget(const std::string& first, Request& request) {
  const std::size_t space = first.find(' ');
  request.method = first.substr(0, space);
  std::string target = first.substr(space + 1, first.rfind(' ') - space - 1);
  const std::size_t mark = target.find('?');
  if (mark != std::string::npos) {
    std::string rest = target.substr(mark + 1) + "&";
    target.erase(mark);
    for (std::size_t end = rest.find('&'); end != std::string::npos; end = rest.find('&')) {
      const std::string pair = rest.substr(0, end);
      rest.erase(0, end + 1);
      const std::size_t equals = pair.find('=');
      if (equals != std::string::npos) {
        request.query[Unescape(pair.substr(0, equals))] = Unescape(pair.substr(equals + 1));
      }
    }
  }
  request.path = Unescape(target);
}

bool IsClosedByPeer(int socket) {
  pollfd descriptor{socket, POLLRDHUP, 0};
  return poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/// Waits for the end of a partition. Returns whether the peer is still there.
bool PassPartition(int socket) {
  while (is_cut_off) {
    Sleep(5);
  }
  return !IsClosedByPeer(socket);
}

bool SendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

using Handler = std::function<Response(const Request&)>;

void ServeConnection(int socket, const Handler& handler) {
  std::string buffer;
  while (true) {
    std::string first;
    Request request;
    if (!ReadMessage(socket, buffer, first, request) || !PassPartition(socket)) {
      break;
    }
    ParseTarget(first, request);
    Response response;
    try {
      response = handler(request);
    } catch (const std::exception& error) {
      response = Response{400, Json{{"error", error.what()}}.dump()};
    }
    if (!PassPartition(socket) ||
        !SendAll(socket, "HTTP/1.1 " + std::to_string(response.status) +
                             " X\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" + response.body)) {
      break;
    }
  }
  close(socket);
}

[[noreturn]] void Serve(const std::string& address_text, const Handler& handler) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(address_text);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  while (true) {
    const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      continue;
    }
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread(ServeConnection, connection, std::cref(handler)).detach();
  }
}

/// One request on a connection of its own. Status 0: no answer.
Response Call(const std::string& method, const std::string& url, const std::string& body,
              const std::vector<std::string>& headers, int timeout_ms) {
  const std::string rest = url.substr(url.find("//") + 2);
  const std::string host = rest.substr(0, rest.find('/'));
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1'000, (timeout_ms % 1'000) * 1'000};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in address = AddressOf(host);
  Response response{0, ""};
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    std::string text = method + " " + rest.substr(rest.find('/')) +
                       " HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n";
    bool has_host = false;
    for (const std::string& header : headers) {
      text += header + "\r\n";
      has_host = has_host || Lower(header).starts_with("host:");
    }
    text += has_host ? "" : "Host: " + host + "\r\n";
    std::string buffer;
    std::string first;
    Request answer;
    if (SendAll(connection, text + "\r\n" + body) &&
        ReadMessage(connection, buffer, first, answer)) {
      response = Response{std::stoi(first.substr(first.find(' ') + 1)), answer.body};
    }
  }
  close(connection);
  return response;
}

// --- the store ---

std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t index = 0; index < bytes.size(); index += 3) {
    const auto byte = [&](std::size_t offset) {
      return index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0U;
    };
    const unsigned bits = byte(0) << 16U | byte(1) << 8U | byte(2);
    text += kDigits[bits >> 18U];
    text += kDigits[bits >> 12U & 63U];
    text += index + 1 < bytes.size() ? kDigits[bits >> 6U & 63U] : '=';
    text += index + 2 < bytes.size() ? kDigits[bits & 63U] : '=';
  }
  return text;
}

class Store {
 public:
  explicit Store() {
    std::thread([this] { Expire(); }).detach();
  }

  Response Handle(const Request& request) {
    Lock lock(m_mutex);
    if (request.path == "/kv-txn") {
      const Json body = Json::parse(request.body);
      ++m_writes;
      if (!m_late_key.empty() && SteadyNow() < m_late_until && Writes(body, m_late_key)) {
        CarryOutLater(body);
        // The call stays without an answer: its sender closes the connection in the end.
        lock.unlock();
        Sleep(60'000);
        return Response{503, "{}"};
      }
    }
    return Dispatch(request);
  }

  Response Watch(const Request& request) {
    Lock lock(m_mutex);
    const std::string prefix = request.query.at("prefix");
    const std::int64_t after = std::stoll(request.query.at("after"));
    const std::int64_t until = SteadyNow() + std::stoll(request.query.at("waitMs"));
    while (true) {
      Json events = Json::array();
      for (auto change = m_history.upper_bound(after); change != m_history.end(); ++change) {
        for (const Json& event : change->second) {
          if (event.at("key").get<std::string>().starts_with(prefix)) {
            events.push_back(event);
          }
        }
      }
      const std::int64_t left = until - SteadyNow();
      if (SteadyNow() < m_muted_until) {
        m_changed.wait_for(lock, std::chrono::milliseconds(m_muted_until - SteadyNow()));
        continue;
      }
      if (after < m_forgotten) {
        return Response{410, "{}"};
      }
      if (!events.empty() || left <= 0) {
        return Response{200, Json{{"events", events}, {"at", m_revision}}.dump()};
      }
      m_changed.wait_for(lock, std::chrono::milliseconds(left));
    }
  }

 private:
  struct Item {
    std::string value;  // In base64.
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Lease {
    std::int64_t ttl = 0;
    std::int64_t ends_at = 0;
  };

  Json ItemJson(const std::string& key) const {
    const auto found = m_items.find(key);
    const Item item = found == m_items.end() ? Item{} : found->second;
    return Json{{"key", key},
                {"value", item.value},
                {"revision", item.revision},
                {"created", item.created},
                {"lease", item.lease}};
  }

  void Put(const std::string& key, const std::string& value, std::int64_t lease) {
    Item& item = m_items[key];
    item.created = item.created == 0 ? m_revision : item.created;
    item.value = value;
    item.revision = m_revision;
    item.lease = lease;
    m_history[m_revision].push_back(ItemJson(key));
  }

  void Remove(const std::string& key) {
    if (m_items.erase(key) > 0) {
      m_history[m_revision].push_back(
          Json{{"key", key}, {"revision", m_revision}, {"deleted", true}});
    }
  }

  Response Transact(const Json& body) {
    Json current = Json::array();
    bool holds = true;
    for (const Json& row : body.value("expectedRev", Json::array())) {
      current.push_back(ItemJson(row.at("key")));
      holds = holds && current.back().at("revision") == row.at("revision");
    }
    if (!holds) {
      return Response{412, Json{{"items", current}}.dump()};
    }
    const Json writes = body.value("write", Json::array());
    const Json removals = body.value("remove", Json::array());
    for (const Json& row : writes) {
      const std::int64_t lease = row.value("lease", std::int64_t{0});
      if (lease != 0 && !m_leases.contains(lease)) {
        return Response{404, "{}"};
      }
    }
    if (!writes.empty() || !removals.empty()) {
      ++m_revision;
    }
    for (const Json& row : writes) {
      Put(row.at("key"), row.at("value"), row.value("lease", std::int64_t{0}));
    }
    for (const Json& key : removals) {
      Remove(key);
    }
    m_changed.notify_all();
    return Response{200, Json{{"revision", m_revision}}.dump()};
  }

  static bool Writes(const Json& body, const std::string& key) {
    const Json writes = body.value("write", Json::array());
    return std::any_of(writes.begin(), writes.end(),
                       [&key](const Json& row) { return row.at("key") == key; });
  }

  /// "A call that receives no response may [...] be executed seconds later if its condition still
  /// holds."
  void CarryOutLater(const Json& body) {
    ++m_late_writes;
    Record("store: a write of " + m_late_key + " is not answered, and carried out " +
           std::to_string(m_late_delay) + " ms later");
    std::thread([this, body, key = m_late_key, delay = m_late_delay] {
      Sleep(delay);
      const Lock lock(m_mutex);
      Record("store: late write of " + key + " -> " + std::to_string(Transact(body).status));
    }).detach();
  }

  /// Watches hear nothing for `for` ms while changes are made; then the history is dropped.
  Response Compact(const Request& request) {
    const std::int64_t length = std::stoll(request.query.at("for"));
    m_muted_until = SteadyNow() + length;
    Record("store: watches hear nothing for " + std::to_string(length) + " ms");
    std::thread([this, length] {
      Sleep(length);
      const Lock lock(m_mutex);
      m_forgotten = m_revision;
      m_history.clear();
      Record("store: history dropped");
      m_changed.notify_all();
    }).detach();
    return Response{200, "{}"};
  }

  /// Writes of `key` are late by `delay` ms from now on, for `for` ms.
  Response SetLate(const Request& request) {
    m_late_key = request.query.at("key");
    m_late_delay = std::stoll(request.query.at("delay"));
    m_late_until = SteadyNow() + std::stoll(request.query.at("for"));
    m_writes = 0;
    m_late_writes = 0;
    return Response{200, "{}"};
  }

  void EndLease(std::int64_t lease) {
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    if (!keys.empty()) {
      ++m_revision;
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
    m_changed.notify_all();
  }

  Response LeaseCall(const Request& request) {
    const std::int64_t id = std::stoll(request.path.substr(request.path.rfind('/') + 1));
    const auto found = m_leases.find(id);
    if (found == m_leases.end()) {
      return Response{404, "{}"};
    }
    if (request.method == "DELETE") {
      EndLease(id);
      return Response{200, "{}"};
    }
    found->second.ends_at = SteadyNow() + found->second.ttl;
    return Response{200, Json{{"lease", id}, {"ttlMs", found->second.ttl}}.dump()};
  }

  Response Dispatch(const Request& request) {
    if (request.path == "/kv-key") {
      const std::string& key = request.query.at("key");
      Json json = ItemJson(key);
      json["at"] = m_revision;
      return Response{m_items.contains(key) ? 200 : 404, json.dump()};
    }
    if (request.path == "/kv-range") {
      return Range(request);
    }
    if (request.path == "/kv-txn") {
      return Transact(Json::parse(request.body));
    }
    if (request.path == "/kv-lease") {
      const std::int64_t ttl =
          std::max<std::int64_t>(1'000, Json::parse(request.body).at("ttlMs").get<std::int64_t>());
      m_leases[++m_last_lease] = Lease{ttl, SteadyNow() + ttl};
      return Response{200, Json{{"lease", m_last_lease}, {"ttlMs", ttl}}.dump()};
    }
    if (request.path.starts_with("/kv-keep/") || request.path.starts_with("/kv-lease-end/")) {
      return LeaseCall(request);
    }
    if (request.path == "/compact") {
      return Compact(request);
    }
    if (request.path == "/late") {
      return SetLate(request);
    }
    if (request.path == "/late-share") {
      return Response{200, std::to_string(m_late_writes) + " of " + std::to_string(m_writes)};
    }
    if (request.path == "/operator") {  // Writes of the operator and of the minions.
      ++m_revision;
      if (request.method == "DELETE") {
        Remove(request.query.at("key"));
      } else {
        Put(request.query.at("key"), Base64(request.body), 0);
        if (request.query.contains("ttl")) {
          m_expiry[request.query.at("key")] = SteadyNow() + std::stoll(request.query.at("ttl"));
        }
      }
      m_changed.notify_all();
      return Response{200, Json{{"revision", m_revision}}.dump()};
    }
    return Response{404, "{}"};
  }

  Response Range(const Request& request) const {
    constexpr int kPage = 500;
    const std::string& prefix = request.query.at("prefix");
    const auto after = request.query.find("after");
    Json items = Json::array();
    bool has_more = false;
    for (auto item = after == request.query.end() ? m_items.lower_bound(prefix)
                                                  : m_items.upper_bound(after->second);
         item != m_items.end() && item->first.starts_with(prefix); ++item) {
      if (items.size() == kPage) {
        has_more = true;
        break;
      }
      items.push_back(ItemJson(item->first));
    }
    return Response{200, Json{{"items", items}, {"hasMore", has_more}, {"at", m_revision}}.dump()};
  }

  [[noreturn]] void Expire() {
    while (true) {
      Sleep(10);
      const Lock lock(m_mutex);
      const std::int64_t now = SteadyNow();
      std::vector<std::int64_t> ended;
      for (const auto& [id, lease] : m_leases) {
        if (lease.ends_at <= now) {
          ended.push_back(id);
        }
      }
      for (const std::int64_t id : ended) {
        EndLease(id);
      }
      for (auto entry = m_expiry.begin(); entry != m_expiry.end();) {
        if (entry->second > now) {
          ++entry;
          continue;
        }
        ++m_revision;
        Remove(entry->first);
        Record("store removed " + entry->first);
        m_changed.notify_all();
        entry = m_expiry.erase(entry);
      }
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::int64_t m_revision = 1;
  std::int64_t m_last_lease = 100;
  std::map<std::string, Item> m_items;
  std::map<std::int64_t, std::vector<Json>> m_history;
  std::map<std::int64_t, Lease> m_leases;
  /// When the registration of a minion that stays silent is removed.
  std::map<std::string, std::int64_t> m_expiry;
  std::int64_t m_muted_until = 0;
  /// Changes up to this revision are no longer in the history.
  std::int64_t m_forgotten = 0;
  std::string m_late_key;
  std::int64_t m_late_delay = 0;
  std::int64_t m_late_until = 0;
  /// Writing calls since the last SetLate(), and those of them that were late.
  int m_writes = 0;
  int m_late_writes = 0;
};

int RunStore(const std::string& address) {
  static Store store;
  static const Handler handler = [](const Request& request) {
    return request.path == "/kv-watch" ? store.Watch(request) : store.Handle(request);
  };
  Serve(address, handler);
}

// --- a minion ---

constexpr std::int64_t kHoldMax = 10'000;
constexpr std::int64_t kHeartbeat = 1'500;
constexpr std::int64_t kGangTimeout = 3'000;
constexpr std::int64_t kStopTime = 100;
constexpr std::int64_t kDrain = 2'200;

/// Tasks work as long as their job's spec says: "work=MILLISECONDS".
class Minion {
 public:
  Minion(std::string id, std::string address, std::string store, Json capacity, std::string zone,
         std::string rack)
      : m_id(std::move(id)),
        m_address(std::move(address)),
        m_store(std::move(store)),
        m_capacity(std::move(capacity)),
        m_zone(std::move(zone)),
        m_rack(std::move(rack)) {
    Record("minion " + m_id + " boot " + std::to_string(m_born));
    std::thread([this] { SendHeartbeats(); }).detach();
    std::thread([this] { Advance(); }).detach();
  }

  Response Handle(const Request& request) {
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != m_id) {
      return Response{421, "{}"};
    }
    const Json body = Json::parse(request.body);
    Lock lock(m_mutex);
    const std::int64_t token = body.value("fencingToken", std::int64_t{0});
    if (token < m_token) {
      return Refusal("fence");
    }
    m_token = token;
    if (request.path == "/run-start") {
      return Start(body);
    }
    if (request.path == "/run-stop") {
      return Stop(body);
    }
    return request.path == "/hold" ? Hold(body, lock) : Response{404, "{}"};
  }

 private:
  struct Run {
    int attempt = 0;
    std::int64_t began_at = 0;
    std::int64_t ends_at = 0;
    bool is_stopping = false;
  };

  std::int64_t Clock() const { return SteadyNow() - m_started_at; }

  Json Body() const { return Json{{"clockMs", Clock()}, {"born", m_born}}; }

  Response Refusal(const char* reason) const {
    Json body = Body();
    body["reason"] = reason;
    return Response{409, body.dump()};
  }

  /// A lease never gets shorter, and never extends further than `kHoldMax` from now.
  void Extend(const Json& body) {
    if (body.contains("deadlineMs")) {
      m_lease = std::max(m_lease,
                         std::min(body.at("deadlineMs").get<std::int64_t>(), Clock() + kHoldMax));
    }
  }

  static std::int64_t WorkOf(const std::string& spec) {
    const std::size_t found = spec.find("work=");
    return found == std::string::npos ? 1'000 : std::stoll(spec.substr(found + 5));
  }

  Response Start(const Json& body) {
    const std::string task = body.at("task");
    const int attempt = body.at("attempt");
    if (body.at("deadlineMs").get<std::int64_t>() <= Clock()) {
      return Refusal("late");
    }
    Extend(body);
    const auto run = m_runs.find(task);
    if (run != m_runs.end() && run->second.attempt == attempt) {
      return Response{200, Body().dump()};
    }
    const auto barred = m_barred.find(task);
    if (run != m_runs.end() || (barred != m_barred.end() && attempt <= barred->second)) {
      return Refusal("old");
    }
    m_runs[task] = Run{attempt, Clock(), Clock() + WorkOf(body.at("spec")), false};
    Record("minion " + m_id + " start " + task + " " + std::to_string(attempt) + " lease-left " +
           std::to_string(m_lease - Clock()));
    return Response{200, Body().dump()};
  }

  Response Stop(const Json& body) {
    const std::string task = body.at("task");
    const int attempt = body.at("attempt");
    int& barred = m_barred[task];
    barred = std::max(barred, attempt);
    const auto run = m_runs.find(task);
    if (run != m_runs.end() && run->second.attempt <= attempt && !run->second.is_stopping) {
      run->second.is_stopping = true;
      run->second.ends_at = Clock() + kStopTime;
    }
    return Response{200, Body().dump()};
  }

  Response Hold(const Json& body, Lock& lock) {
    Extend(body);
    const std::int64_t acknowledged = body.value("ackCursor", std::int64_t{0});
    std::erase_if(m_ended, [this, acknowledged](const Json& row) {
      const bool is_forgotten = row.at(0).get<std::int64_t>() <= acknowledged;
      if (is_forgotten) {
        Record("minion " + m_id + " acknowledged " + row.at(1).get<std::string>() + " " +
               row.at(2).dump() + " " + row.at(3).get<std::string>());
      }
      return is_forgotten;
    });
    const std::int64_t until = Clock() + body.value("waitMs", std::int64_t{0});
    while (m_ended.empty() && Clock() < until) {
      m_changed.wait_for(lock, std::chrono::milliseconds(until - Clock()));
    }
    Json answer = Body();
    answer["active"] = Json::array();
    for (const auto& [task, run] : m_runs) {
      const std::int64_t worked = Clock() - run.began_at;
      const std::int64_t whole = std::max<std::int64_t>(1, run.ends_at - run.began_at);
      answer["active"].push_back(
          Json{task, run.attempt, "", std::min<std::int64_t>(99, worked * 100 / whole), 1'000});
    }
    answer["ended"] = m_ended;
    return Response{200, answer.dump()};
  }

  void End(const std::string& task, const char* how) {
    const int attempt = m_runs.at(task).attempt;
    m_runs.erase(task);
    int& barred = m_barred[task];
    barred = std::max(barred, attempt);
    m_ended.push_back(Json{++m_last_end, task, attempt, how, ""});
    Record("minion " + m_id + " end " + task + " " + std::to_string(attempt) + " " + how);
    m_changed.notify_all();
  }

  [[noreturn]] void Advance() {
    while (true) {
      Sleep(5);
      const Lock lock(m_mutex);
      std::vector<std::pair<std::string, const char*>> over;
      for (const auto& [task, run] : m_runs) {
        if (Clock() > m_lease) {
          over.emplace_back(task, "lapsed");
        } else if (Clock() >= run.ends_at) {
          over.emplace_back(task, run.is_stopping ? "stopped" : "done");
        }
      }
      for (const auto& [task, how] : over) {
        End(task, how);
      }
    }
  }

  void SendHeartbeat(std::int64_t sequence, bool drains) const {
    Json entry{{"service", "pool"},
               {"address", m_address},
               {"zone", m_zone},
               {"version", "1"},
               {"slots", 8},
               {"state", drains ? "draining" : "ready"},
               {"coldLeftMs", 0},
               {"sequence", sequence},
               {"born", m_born},
               {"capacity", m_capacity},
               {"labels", {"a", m_rack}}};
    if (drains) {
      entry["remainingMs"] = kDrain;
    }
    if (!is_cut_off) {
      Call("PUT", Registration() + "&ttl=" + std::to_string(3 * kHeartbeat), entry.dump(), {},
           1'000);
    }
  }

  std::string Registration() const { return "http://" + m_store + "/operator?key=servers/" + m_id; }

  [[noreturn]] void SendHeartbeats() {
    for (std::int64_t sequence = 1;; ++sequence) {
      SendHeartbeat(sequence, false);
      for (std::int64_t waited = 0; waited < kHeartbeat; waited += 10) {
        Sleep(10);
        if (is_draining) {
          Leave(sequence + 1);
        }
      }
    }
  }

  [[noreturn]] void Leave(std::int64_t sequence) {
    SendHeartbeat(sequence, true);
    Record("minion " + m_id + " drains");
    Sleep(kDrain);
    Call("DELETE", Registration(), "", {}, 1'000);
    Record("minion " + m_id + " has left");
    _exit(0);
  }

  const std::string m_id;
  const std::string m_address;
  const std::string m_store;
  const Json m_capacity;
  const std::string m_zone;
  const std::string m_rack;
  const std::int64_t m_born = WallNow();
  const std::int64_t m_started_at = SteadyNow();
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::int64_t m_token = 0;
  std::int64_t m_lease = 0;
  std::int64_t m_last_end = 0;
  std::map<std::string, Run> m_runs;
  std::map<std::string, int> m_barred;
  std::vector<Json> m_ended;
};

int RunMinion(int count, char** words) {
  const auto word = [&](int index, const char* fallback) {
    return std::string(index < count ? words[index] : fallback);
  };
  const Json capacity{{"cpu", 128'000}, {"memMb", 262'144}, {"gpu", std::stoi(word(6, "8"))}};
  static Minion minion(word(2, ""), word(3, ""), word(4, ""), capacity, word(7, "a"),
                       word(8, "r1"));
  static const Handler handler = [](const Request& request) { return minion.Handle(request); };
  Serve(word(3, ""), handler);
}

int RunCall(int count, char** words) {
  std::vector<std::string> headers(words + std::min(count, 5), words + count);
  const Response response = Call(words[2], words[3], count > 4 ? words[4] : "", headers, 4'000);
  std::printf("%03d %s\n", response.status, response.body.c_str());
  return 0;
}

}  // namespace

int main(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGUSR1, [](int) { is_cut_off = true; });
  std::signal(SIGUSR2, [](int) { is_cut_off = false; });
  const std::string command = count > 1 ? words[1] : "";
  if (command == "store" && count == 4) {
    OpenRecord(words[3]);
    return RunStore(words[2]);
  }
  if (command == "minion" && count >= 6) {
    OpenRecord(words[5]);
    std::signal(SIGTERM, [](int) { is_draining = true; });
    return RunMinion(count, words);
  }
  if (command == "call" && count >= 4) {
    return RunCall(count, words);
  }
  if (command == "now") {
    std::printf("%lld\n", static_cast<long long>(SteadyNow()));
    return 0;
  }
  std::fprintf(stderr, "see the comment at the top of the source\n");
  return 2;
}
