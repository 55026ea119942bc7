/// Stand-ins for the users' platform, for the scripts of this review: a store, minions as separate
/// processes, a consumer, and the edge nodes as the deploy file starts them. They do what PROTOCOL.md
/// says and nothing beside. Addresses are loopback addresses, ports are free ones.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stand_in {

using Json = nlohmann::json;

inline std::int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// `heartbeatMs` of the settings.
constexpr std::int64_t kCheckInMs = 1'500;

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
  std::string body = "{}";
};

/// No response: the connection is closed.
using Handler = std::function<std::optional<Response>(const Request&)>;

inline std::string Unescape(const std::string& text) {
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

inline sockaddr_in AddressOf(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

/// A bound, listening socket; port 0 takes a free one. -1 if it can't be bound.
inline int ListenOn(const std::string& host, int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(host, port);
  if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(socket, 512) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

inline int PortOf(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int FreePort(const std::string& host) {
  const int socket = ListenOn(host, 0);
  const int port = PortOf(socket);
  close(socket);
  return port;
}

inline bool ReadSome(int socket, std::string& buffer) {
  char bytes[16384];
  const ssize_t count = recv(socket, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

/// Reads one message from the socket: its first line, headers (lower case) and body.
inline bool ReadMessage(int socket, std::string& buffer, std::string& first_line,
                        std::map<std::string, std::string>& headers, std::string& body) {
  std::size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadSome(socket, buffer)) {
      return false;
    }
  }
  std::istringstream lines(buffer.substr(0, end));
  std::getline(lines, first_line);
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    for (char& character : name) {
      character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(" "));
    value.erase(value.find_last_not_of("\r ") + 1);
    headers[name] = value;
  }
  const std::size_t length =
      headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
  while (buffer.size() < end + 4 + length) {
    if (!ReadSome(socket, buffer)) {
      return false;
    }
  }
  body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return true;
}

inline bool SendAll(int socket, const std::string& text) {
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

inline void ServeConnection(int socket, const Handler& handler) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::string buffer;
  while (true) {
    Request request;
    std::string first_line;
    if (!ReadMessage(socket, buffer, first_line, request.headers, request.body)) {
      break;
    }
    std::istringstream words(first_line);
    std::string target;
    words >> request.method >> target;
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) {
      std::istringstream pairs(target.substr(mark + 1));
      std::string pair;
      while (std::getline(pairs, pair, '&')) {
        const std::size_t equals = pair.find('=');
        request.query[pair.substr(0, equals)] =
            equals == std::string::npos ? "" : Unescape(pair.substr(equals + 1));
      }
    }
    const std::optional<Response> response = handler(request);
    if (!response.has_value()) {
      break;
    }
    if (!SendAll(socket, "HTTP/1.1 " + std::to_string(response->status) +
                             " -\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(response->body.size()) + "\r\n\r\n" +
                             response->body)) {
      break;
    }
  }
  close(socket);
}

/// Serves for ever, each connection in a thread of its own.
inline void Serve(int listener, const Handler& handler) {
  while (true) {
    const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    std::thread([socket, handler] { ServeConnection(socket, handler); }).detach();
  }
}

/// Status 0: no complete response came within the timeout.
inline Response Call(const std::string& host, int port, const std::string& method,
                     const std::string& target, const std::string& body,
                     const std::vector<std::string>& headers, int timeout_ms) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = AddressOf(host, port);
  Response response{0, ""};
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const std::string& header : headers) {
      text += header + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    std::string first_line;
    std::map<std::string, std::string> answer_headers;
    std::string answer;
    if (SendAll(socket, text) &&
        ReadMessage(socket, buffer, first_line, answer_headers, answer)) {
      std::istringstream words(first_line);
      std::string version;
      words >> version >> response.status;
      response.body = answer;
    }
  }
  close(socket);
  return response;
}

// --- the record of a case ---

/// Lines with the time since the start of the case. Minions write theirs through the store's port.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path, std::ios::trunc), m_began_at(SteadyMs()) {}

  void Write(const std::string& line) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f s  ",
                  static_cast<double>(SteadyMs() - m_began_at) / 1000.0);
    m_file << time << line << std::endl;
    m_lines.push_back(line);
    m_times.push_back(SteadyMs());
  }

  /// The lines with the steady times at which they were written.
  std::vector<std::pair<std::int64_t, std::string>> timed_lines() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::pair<std::int64_t, std::string>> timed;
    for (std::size_t index = 0; index < m_lines.size(); ++index) {
      timed.emplace_back(m_times[index], m_lines[index]);
    }
    return timed;
  }

  std::int64_t began() const { return m_began_at; }

  std::vector<std::string> lines() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_lines;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  const std::int64_t m_began_at;
  std::vector<std::string> m_lines;
  std::vector<std::int64_t> m_times;
};

// --- base64 ---

inline std::string EncodeBase64(const std::string& bytes) {
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t index = 0; index < bytes.size(); index += 3) {
    unsigned int group = 0;
    for (std::size_t offset = 0; offset < 3; ++offset) {
      group = group << 8U |
              (index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0U);
    }
    const std::size_t present = std::min<std::size_t>(3, bytes.size() - index);
    for (std::size_t digit = 0; digit < 4; ++digit) {
      text += digit <= present ? kDigits[group >> (18 - 6 * digit) & 63U] : '=';
    }
  }
  return text;
}

inline std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  unsigned int group = 0;
  int bits = 0;
  for (const char character : text) {
    int digit = -1;
    if (character >= 'A' && character <= 'Z') digit = character - 'A';
    if (character >= 'a' && character <= 'z') digit = character - 'a' + 26;
    if (character >= '0' && character <= '9') digit = character - '0' + 52;
    if (character == '+') digit = 62;
    if (character == '/') digit = 63;
    if (digit < 0) break;
    group = group << 6U | static_cast<unsigned int>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255U);
    }
  }
  return bytes;
}

// --- the platform's store ---

/// What becomes of one call to the store.
enum class StoreFault {
  kNone,
  /// Carried out, and not answered.
  kAnswerLost,
  /// Not answered, and carried out some seconds later.
  kLate,
  /// Refused with 503; nothing was done.
  kBusy,
  /// Neither carried out nor answered.
  kSilent,
};

class Store {
 public:
  explicit Store(Record& record) : m_record(record) {}

  /// Decides on each call; may wait.
  std::function<StoreFault(const Request&)> fault_of;
  std::int64_t late_ms = 3'000;

  int Start() {
    const int listener = ListenOn("127.0.0.1", 0);
    m_port = PortOf(listener);
    std::thread([this, listener] {
      Serve(listener, [this](const Request& request) { return Handle(request); });
    }).detach();
    std::thread([this] {
      while (true) {
        SleepMs(20);
        const std::lock_guard<std::mutex> lock(m_mutex);
        ExpireLeases();
        RemoveSilentMinions();
      }
    }).detach();
    return m_port;
  }

  int port() const { return m_port; }

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_revision;
    Write(key, value, 0);
    m_changed.notify_all();
  }

  void Remove(const std::string& key) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_revision;
    Erase(key);
    m_changed.notify_all();
  }

  /// When the minion of that key last checked in; 0 if it has not.
  std::int64_t LastCheckIn(const std::string& key) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_checked_in_at.find(key);
    return found == m_checked_in_at.end() ? 0 : found->second;
  }

  std::optional<std::string> Value(const std::string& key) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional(found->second.value);
  }

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool is_deleted = false;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t ends_at = 0;
  };

  void Write(const std::string& key, const std::string& value, std::int64_t lease) {
    Item& item = m_items[key];
    item = Item{value, m_revision, item.created == 0 ? m_revision : item.created, lease};
    m_history.push_back(Event{key, item, false});
  }

  void Erase(const std::string& key) {
    if (m_items.erase(key) > 0) {
      m_history.push_back(Event{key, Item{"", m_revision, 0, 0}, true});
    }
  }

  void EndLease(std::int64_t lease) {
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      ++m_revision;
      Erase(key);
    }
    m_changed.notify_all();
  }

  /// An entry is removed after three check-in intervals of silence.
  void RemoveSilentMinions() {
    for (auto entry = m_checked_in_at.begin(); entry != m_checked_in_at.end();) {
      if (SteadyMs() - entry->second <= 3 * kCheckInMs) {
        ++entry;
        continue;
      }
      ++m_revision;
      Erase(entry->first);
      entry = m_checked_in_at.erase(entry);
      m_changed.notify_all();
    }
  }

  void ExpireLeases() {
    std::vector<std::int64_t> ended;
    for (const auto& [id, lease] : m_leases) {
      if (lease.ends_at <= SteadyMs()) {
        ended.push_back(id);
      }
    }
    for (const std::int64_t lease : ended) {
      EndLease(lease);
    }
  }

  static Json JsonOf(const std::string& key, const Item& item) {
    return Json{{"key", key},
                {"value", EncodeBase64(item.value)},
                {"revision", item.revision},
                {"created", item.created},
                {"lease", item.lease}};
  }

  std::optional<Response> Handle(const Request& request) {
    if (request.path == "/record") {
      m_record.Write(request.body);
      return Response{};
    }
    if (request.path == "/registry") {
      // The platform's own writes of what minions report.
      if (request.method == "DELETE") {
        const std::string key = request.query.at("key");
        {
          const std::lock_guard<std::mutex> lock(m_mutex);
          m_checked_in_at.erase(key);
        }
        Remove(key);
      } else {
        Put(request.query.at("key"), request.body);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_checked_in_at[request.query.at("key")] = SteadyMs();
      }
      return Response{};
    }
    constexpr std::int64_t kSilenceMs = 1'500;
    switch (fault_of ? fault_of(request) : StoreFault::kNone) {
      case StoreFault::kNone:
        return Answer(request);
      case StoreFault::kBusy:
        return Response{503, "{}"};
      case StoreFault::kAnswerLost:
        Answer(request);
        break;
      case StoreFault::kLate:
        std::thread([this, request] {
          SleepMs(late_ms);
          Answer(request);
        }).detach();
        break;
      case StoreFault::kSilent:
        break;
    }
    SleepMs(kSilenceMs);
    return std::nullopt;
  }

  Response Answer(const Request& request) {
    const auto query = [&request](const char* name) {
      const auto found = request.query.find(name);
      return found == request.query.end() ? std::string() : found->second;
    };
    std::unique_lock<std::mutex> lock(m_mutex);
    ExpireLeases();
    if (request.path == "/kv-key") {
      const auto found = m_items.find(query("key"));
      if (found == m_items.end()) {
        return Response{404, "{}"};
      }
      Json body = JsonOf(found->first, found->second);
      body["at"] = m_revision;
      return Response{200, body.dump()};
    }
    if (request.path == "/kv-range") {
      Json body{{"items", Json::array()}, {"hasMore", false}, {"at", m_revision}};
      const std::string prefix = query("prefix");
      const std::string after = query("after");
      for (auto entry = m_items.lower_bound(prefix);
           entry != m_items.end() && entry->first.starts_with(prefix); ++entry) {
        if (!after.empty() && entry->first <= after) {
          continue;
        }
        if (body["items"].size() == 500) {
          body["hasMore"] = true;
          break;
        }
        body["items"].push_back(JsonOf(entry->first, entry->second));
      }
      return Response{200, body.dump()};
    }
    if (request.path == "/kv-watch") {
      const std::string prefix = query("prefix");
      const std::int64_t after = std::stoll(query("after"));
      const std::int64_t until = SteadyMs() + std::stoll(query("waitMs"));
      while (true) {
        Json body{{"events", Json::array()}, {"at", m_revision}};
        for (const Event& event : m_history) {
          if (event.item.revision <= after || !event.key.starts_with(prefix)) {
            continue;
          }
          body["events"].push_back(event.is_deleted ? Json{{"key", event.key},
                                                           {"revision", event.item.revision},
                                                           {"deleted", true}}
                                                    : JsonOf(event.key, event.item));
        }
        if (!body["events"].empty() || SteadyMs() >= until) {
          return Response{200, body.dump()};
        }
        m_changed.wait_for(lock, std::chrono::milliseconds(until - SteadyMs()));
      }
    }
    if (request.path == "/kv-txn") {
      return Commit(Json::parse(request.body));
    }
    if (request.path == "/kv-lease") {
      const std::int64_t ttl_ms =
          std::max<std::int64_t>(1000, Json::parse(request.body).at("ttlMs").get<std::int64_t>());
      m_leases[++m_last_lease] = Lease{ttl_ms, SteadyMs() + ttl_ms};
      return Response{200, Json{{"lease", m_last_lease}, {"ttlMs", ttl_ms}}.dump()};
    }
    const std::int64_t lease = std::stoll(request.path.substr(request.path.rfind('/') + 1));
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
      return Response{404, "{}"};
    }
    if (request.path.starts_with("/kv-lease-end/")) {
      EndLease(lease);
      return Response{};
    }
    found->second.ends_at = SteadyMs() + found->second.ttl_ms;
    return Response{200, Json{{"ttlMs", found->second.ttl_ms}}.dump()};
  }

  Response Commit(const Json& txn) {
    Json items = Json::array();
    bool holds = true;
    for (const Json& row : txn.value("expectedRev", Json::array())) {
      const std::string key = row.at("key");
      const auto found = m_items.find(key);
      const std::int64_t revision = found == m_items.end() ? 0 : found->second.revision;
      holds = holds && revision == row.at("revision").get<std::int64_t>();
      items.push_back(revision == 0 ? Json{{"key", key}, {"revision", 0}}
                                    : JsonOf(key, found->second));
    }
    if (!holds) {
      return Response{412, Json{{"items", items}}.dump()};
    }
    for (const Json& row : txn.value("write", Json::array())) {
      const std::int64_t lease = row.value("lease", std::int64_t{0});
      if (lease != 0 && !m_leases.contains(lease)) {
        return Response{404, "{}"};
      }
    }
    ++m_revision;
    for (const Json& row : txn.value("write", Json::array())) {
      Write(row.at("key"), DecodeBase64(row.value("value", std::string())),
            row.value("lease", std::int64_t{0}));
    }
    for (const Json& key : txn.value("remove", Json::array())) {
      Erase(key);
    }
    m_changed.notify_all();
    return Response{200, Json{{"revision", m_revision}}.dump()};
  }

  Record& m_record;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  int m_port = 0;
  std::int64_t m_revision = 1;
  std::int64_t m_last_lease = 0;
  std::map<std::string, Item> m_items;
  std::map<std::int64_t, Lease> m_leases;
  std::deque<Event> m_history;
  std::map<std::string, std::int64_t> m_checked_in_at;
};

// --- minions ---

struct MinionSettings {
  std::string id;
  int port = 0;
  std::string zone = "a";
  std::string rack = "r-1";
  int cpu = 16000;
  int mem_mb = 32768;
  int gpu = 8;
  int store_port = 0;
  /// How long each task takes.
  int work_ms = 3000;
  /// Of a thousand calls, how many are carried out and not answered, and how many are not answered and
  /// carried out 2 to 6 s later.
  int lost_permille = 0;
  int late_permille = 0;
};

/// One life of a minion; runs in a process of its own until it is killed.
class Minion {
 public:
  explicit Minion(MinionSettings settings) : m_settings(std::move(settings)) {}

  [[noreturn]] void Run(int listener) {
    m_born = WallMs();
    m_began_at = SteadyMs();
    std::srand(static_cast<unsigned int>(m_born));
    static std::atomic<bool>& is_told_to_leave = m_is_told_to_leave;
    signal(SIGTERM, [](int) { is_told_to_leave = true; });
    std::thread([this] { Beat(); }).detach();
    std::thread([this] {
      while (true) {
        SleepMs(5);
        const std::lock_guard<std::mutex> lock(m_mutex);
        Advance();
      }
    }).detach();
    Serve(listener, [this](const Request& request) { return Handle(request); });
    std::abort();
  }

 private:
  struct Work {
    int attempt = 0;
    std::int64_t ends_at = 0;
    std::int64_t began_at = 0;
    bool is_stopping = false;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    int attempt = 0;
    std::string how;
  };

  std::int64_t Clock() const { return SteadyMs() - m_began_at; }

  void Log(const std::string& line) {
    Call("127.0.0.1", m_settings.store_port, "POST", "/record", m_settings.id + ": " + line, {},
         1000);
  }

  /// After SIGTERM the minion drains: it says so, serves on for kDrainMs, and leaves.
  void Beat() {
    std::int64_t next_at = SteadyMs();
    std::int64_t leaves_at = 0;
    for (int sequence = 1;; SleepMs(10)) {
      if (m_is_told_to_leave && leaves_at == 0) {
        leaves_at = SteadyMs() + kDrainMs + kLingerMs;
        next_at = SteadyMs();
      }
      if (leaves_at != 0 && SteadyMs() >= leaves_at) {
        Call("127.0.0.1", m_settings.store_port, "DELETE", "/registry?key=servers/" + m_settings.id, "",
             {}, 1000);
        _exit(0);
      }
      if (SteadyMs() < next_at) {
        continue;
      }
      next_at = SteadyMs() + kCheckInMs;
      Json entry{{"service", "pool"},
                       {"address", "127.0.0.1:" + std::to_string(m_settings.port)},
                       {"zone", m_settings.zone},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", leaves_at == 0 ? "ready" : "draining"},
                       {"coldLeftMs", 0},
                       {"capacity",
                        {{"cpu", m_settings.cpu}, {"memMb", m_settings.mem_mb}, {"gpu", m_settings.gpu}}},
                       {"labels", {"k", m_settings.rack}},
                       {"born", m_born},
                       {"clockMs", Clock()},
                       {"sequence", sequence++}};
      if (leaves_at != 0) {
        entry["remainingMs"] = std::max<std::int64_t>(0, leaves_at - kLingerMs - SteadyMs());
      }
      Call("127.0.0.1", m_settings.store_port, "POST", "/registry?key=servers/" + m_settings.id,
           entry.dump(), {}, 1000);
    }
  }

  void Finish(const std::string& task, const std::string& how) {
    const Work work = m_works.at(task);
    m_works.erase(task);
    m_barred[task] = std::max(m_barred[task], work.attempt);
    m_ends.push_back(End{++m_last_end, task, work.attempt, how});
    m_ended.notify_all();
    Log("ended " + task + " attempt " + std::to_string(work.attempt) + " " + how);
  }

  void Advance() {
    const std::map<std::string, Work> works = m_works;
    for (const auto& [task, work] : works) {
      if (Clock() >= m_lease_until) {
        Finish(task, "lapsed");
      } else if (work.is_stopping) {
        Finish(task, "stopped");
      } else if (SteadyMs() >= work.ends_at) {
        Finish(task, "done");
      }
    }
  }

  Response Refusal(const char* reason) const {
    return Response{409, Json{{"clockMs", Clock()}, {"born", m_born}, {"reason", reason}}.dump()};
  }

  void Extend(std::int64_t deadline) {
    m_lease_until = std::max(m_lease_until, std::min(deadline, Clock() + 10000));
  }

  std::optional<Response> Handle(const Request& request) {
    constexpr std::int64_t kSilenceMs = 3'000;
    const int chance = static_cast<int>(std::rand() % 1000);
    if (chance < m_settings.lost_permille) {
      CarryOut(request);
    } else if (chance < m_settings.lost_permille + m_settings.late_permille) {
      std::thread([this, request, delay_ms = 2'000 + std::rand() % 4'000] {
        SleepMs(delay_ms);
        CarryOut(request);
      }).detach();
    } else {
      return CarryOut(request);
    }
    SleepMs(kSilenceMs);
    return std::nullopt;
  }

  Response CarryOut(const Request& request) {
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != m_settings.id) {
      return Response{421, "{}"};
    }
    const Json body = Json::parse(request.body);
    std::unique_lock<std::mutex> lock(m_mutex);
    const std::int64_t token = body.value("fencingToken", std::int64_t{0});
    if (token < m_token) {
      return Refusal("fence");
    }
    m_token = token;
    Advance();
    if (request.path == "/run-start") {
      return StartWork(body);
    }
    if (request.path == "/run-stop") {
      const std::string task = body.at("task");
      const int attempt = body.at("attempt");
      m_barred[task] = std::max(m_barred[task], attempt);
      const auto found = m_works.find(task);
      if (found != m_works.end() && found->second.attempt <= attempt) {
        found->second.is_stopping = true;
      }
      return Response{200, Json{{"clockMs", Clock()}, {"born", m_born}}.dump()};
    }
    return Hold(body, lock);
  }

  Response StartWork(const Json& body) {
    const std::string task = body.at("task");
    const int attempt = body.at("attempt");
    const std::int64_t deadline = body.at("deadlineMs");
    if (deadline <= Clock()) {
      return Refusal("late");
    }
    Extend(deadline);
    const auto found = m_works.find(task);
    if (found != m_works.end() && found->second.attempt == attempt) {
      return Response{200, Json{{"clockMs", Clock()}, {"born", m_born}}.dump()};
    }
    const auto barred = m_barred.find(task);
    if (barred != m_barred.end() && attempt <= barred->second) {
      return Refusal("old");
    }
    m_works[task] = Work{attempt, SteadyMs() + m_settings.work_ms, SteadyMs(), false};
    Log("started " + task + " attempt " + std::to_string(attempt) + " token " +
        std::to_string(m_token));
    return Response{200, Json{{"clockMs", Clock()}, {"born", m_born}}.dump()};
  }

  Response Hold(const Json& body, std::unique_lock<std::mutex>& lock) {
    if (body.contains("deadlineMs")) {
      Extend(body.at("deadlineMs"));
    }
    const std::int64_t cursor = body.value("ackCursor", std::int64_t{0});
    while (!m_ends.empty() && m_ends.front().number <= cursor) {
      Log("its end " + std::to_string(m_ends.front().number) + " (" + m_ends.front().task +
          ") is taken note of");
      m_ends.pop_front();
    }
    const std::int64_t until = SteadyMs() + body.value("waitMs", std::int64_t{0});
    while (m_ends.empty() && SteadyMs() < until) {
      m_ended.wait_for(lock, std::chrono::milliseconds(until - SteadyMs()));
    }
    Json report{{"clockMs", Clock()},
                {"born", m_born},
                {"active", Json::array()},
                {"ended", Json::array()}};
    for (const auto& [task, work] : m_works) {
      const std::int64_t percent =
          std::min<std::int64_t>(99, (SteadyMs() - work.began_at) * 100 / m_settings.work_ms);
      report["active"].push_back({task, work.attempt, "", percent});
    }
    for (const End& end : m_ends) {
      if (report["ended"].size() < 500) {
        report["ended"].push_back({end.number, end.task, end.attempt, end.how, ""});
      }
    }
    return Response{200, report.dump()};
  }

  /// `drainMs`, and how much longer a minion serves.
  static constexpr std::int64_t kDrainMs = 2'000;
  static constexpr std::int64_t kLingerMs = 200;

  const MinionSettings m_settings;
  std::atomic<bool> m_is_told_to_leave{false};
  std::mutex m_mutex;
  std::condition_variable m_ended;
  std::int64_t m_born = 0;
  std::int64_t m_began_at = 0;
  std::int64_t m_token = 0;
  std::int64_t m_lease_until = 0;
  std::map<std::string, Work> m_works;
  std::map<std::string, int> m_barred;
  std::deque<End> m_ends;
  std::int64_t m_last_end = 0;
};

// --- processes ---

/// All processes that a case starts. They are killed at its end.
class Fleet {
 public:
  Fleet(Record& record, Store& store) : m_record(record), m_store(store) {
    char name[] = "/tmp/papayalift-review-XXXXXX";
    m_folder = mkdtemp(name);
  }
  ~Fleet() {
    for (const auto& [name, pid] : m_pids) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    std::system(("rm -rf " + m_folder).c_str());
  }

  /// Starts a life of the minion, at its former port if it had one.
  void StartMinion(MinionSettings settings) {
    settings.store_port = m_store.port();
    settings.port = settings.port == 0 ? FreePort("127.0.0.1") : settings.port;
    m_minions[settings.id] = settings;
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(1);
      }
      const int listener = ListenOn("127.0.0.1", settings.port);
      if (listener < 0) {
        _exit(1);
      }
      (new Minion(settings))->Run(listener);
    }
    m_pids[settings.id] = pid;
    m_record.Write("platform: " + settings.id + " starts");
  }

  void KillMinion(const std::string& id) {
    m_record.Write("platform: " + id + " crashes");
    KillAndWait(id);
  }

  /// Planned: the minion is told to leave; returns once it has.
  void DrainMinion(const std::string& id) {
    m_record.Write("platform: " + id + " is told to leave, and drains");
    kill(m_pids.at(id), SIGTERM);
    waitpid(m_pids.at(id), nullptr, 0);
    m_pids.erase(id);
    m_record.Write("platform: " + id + " has left");
  }

  /// Planned: SIGTERM, and the same node again once it has ended.
  void RollEdge(const std::string& name) {
    Signal(name, SIGTERM);
    waitpid(m_pids.at(name), nullptr, 0);
    m_pids.erase(name);
    StartEdge(name);
  }

  void RestartMinion(const std::string& id) { StartMinion(m_minions.at(id)); }

  const MinionSettings& minion(const std::string& id) const { return m_minions.at(id); }

  /// Starts an edge node as the deploy file does, at an address of its own.
  void StartEdge(const std::string& name) {
    Edge& edge = m_edges[name];
    if (edge.ip.empty()) {
      // The metrics port is the same for all nodes, so each takes an address of its own.
      edge.ip = "127." + std::to_string(20 + getpid() % 200) + "." +
                std::to_string(1 + getpid() / 200 % 250) + "." + std::to_string(10 + m_edges.size());
      edge.frontend = FreePort(edge.ip);
      edge.ready = FreePort(edge.ip);
    }
    const std::string file = m_folder + "/" + name + ".toml";
    std::ofstream(file) << "nodeName = \"" << name << "\"\nip = \"" << edge.ip
                        << "\"\nzone = \"a\"\nfirstStart = true\nheartbeatMs = 1500\n"
                        << "portRange = [7000,7015]\n[listen]\nfrontend = \"" << edge.ip << ":"
                        << edge.frontend << "\"\nready = \"" << edge.ip << ":" << edge.ready
                        << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
                        << "[bounds]\ncontactMs = 3000\nackTimeoutMs = 4000\ndrainMs = 2000\n"
                        << "graceS = 6\nholdMaxMs = 10000\nstopMs = 400\ngangTimeoutMs = 3000\n"
                        << "cancel_ms = 3000\nvisible_ms = 3000\nstatus_s = 120\nremoteFactor = 3\n"
                        << "[platform]\naddress = \"127.0.0.1:" << m_store.port()
                        << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nttlMinMs = 1000\n";
    const char* const binary = std::getenv("PAPAYALIFT_PROGRAM");
    const std::string program = binary == nullptr ? "target/src/services/papayalift" : binary;
    const std::string log = m_folder + "/" + name + ".log";
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(1);
      }
      setenv("PAPAYALIFT_NODE_FILE", file.c_str(), 1);
      const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(output, 1);
      dup2(output, 2);
      execl(program.c_str(), program.c_str(), "edge", nullptr);
      _exit(127);
    }
    m_pids[name] = pid;
    m_record.Write("platform: " + name + " starts");
  }

  void Signal(const std::string& name, int signal) {
    m_record.Write("platform: " + name + " gets signal " + std::to_string(signal));
    kill(m_pids.at(name), signal);
  }

  void KillAndWait(const std::string& name) {
    kill(m_pids.at(name), SIGKILL);
    waitpid(m_pids.at(name), nullptr, 0);
    m_pids.erase(name);
  }

  bool IsAlive(const std::string& name) {
    return m_pids.contains(name) && waitpid(m_pids.at(name), nullptr, WNOHANG) == 0;
  }

  bool IsReady(const std::string& name) {
    const Edge& edge = m_edges.at(name);
    return Call(edge.ip, edge.ready, "GET", "/readyz", "", {"Host: x"}, 1000).status == 200;
  }

  bool AwaitReady(const std::string& name, int limit_ms = 15000) {
    for (const std::int64_t until = SteadyMs() + limit_ms; SteadyMs() < until; SleepMs(50)) {
      if (IsReady(name)) {
        return true;
      }
    }
    return false;
  }

  /// A consumer's request to the node.
  Response Ask(const std::string& name, const std::string& method, const std::string& path,
               const std::string& body = "", int budget_ms = 3000, const std::string& key = "key-1") {
    const Edge& edge = m_edges.at(name);
    m_record.Write("consumer: " + method + " " + path + " to " + name);
    const Response response =
        Call(edge.ip, edge.frontend, method, path, body,
             {"Host: shop.example", "Content-Type: application/json", "X-Key: " + key,
              "X-Deadline-Ms: " + std::to_string(budget_ms)},
             budget_ms);
    m_record.Write("consumer: " + method + " " + path + " gets " +
                   (response.status == 0 ? "no answer"
                                         : std::to_string(response.status) + " " + response.body));
    return response;
  }

  std::string Metric(const std::string& name, const std::string& metric) {
    const Response response =
        Call(m_edges.at(name).ip, 7000, "GET", "/metrics", "", {"Host: x"}, 1000);
    std::istringstream lines(response.body);
    std::string line;
    while (std::getline(lines, line)) {
      if (line.starts_with(metric + " ")) {
        return line.substr(metric.size() + 1);
      }
    }
    return "";
  }

  /// The node that leads; empty if none says so.
  std::string Leader() {
    for (const auto& [name, edge] : m_edges) {
      if (m_pids.contains(name) && Metric(name, "papayalift_leader") == "1") {
        return name;
      }
    }
    return "";
  }

  std::string AwaitLeader(int limit_ms = 15000) {
    for (const std::int64_t until = SteadyMs() + limit_ms; SteadyMs() < until; SleepMs(50)) {
      if (const std::string leader = Leader(); !leader.empty()) {
        return leader;
      }
    }
    return "";
  }

  const std::string& folder() const { return m_folder; }

 private:
  struct Edge {
    std::string ip;
    int frontend = 0;
    int ready = 0;
  };

  Record& m_record;
  Store& m_store;
  std::string m_folder;
  std::map<std::string, pid_t> m_pids;
  std::map<std::string, MinionSettings> m_minions;
  std::map<std::string, Edge> m_edges;
};

/// A manifest with one queue of priority 0 and one tenant.
inline std::string Manifest(int version, const std::string& key = "key-1", int attempts = 4) {
  return Json{{"version", version},
              {"routes",
               {{{"name", "scan"},
                 {"host", "shop.example"},
                 {"prefix", "/scan/"},
                 {"kind", "non_idempotent"},
                 {"timeoutMs", 3000},
                 {"targetLatencyMs", 300},
                 {"priority", 0},
                 {"service", "pool"},
                 {"maxAttempts", attempts},
                 {"slackFactor", 1.5},
                 {"public", false}}}},
              {"services",
               {{{"name", "pool"},
                 {"healthPath", "/healthz"},
                 {"maxConns", 64},
                 {"protocol", "h1"},
                 {"tls", false},
                 {"admissionCheck", false},
                 {"standby", false}}}},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 262144},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}},
              {"tenants",
               {{{"name", "bakery"},
                 {"apiKeys", {key}},
                 {"priority", 1},
                 {"guaranteed", {{"gpu", 16}}}}}}}
      .dump();
}

inline bool HasTrouble() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

}  // namespace stand_in
