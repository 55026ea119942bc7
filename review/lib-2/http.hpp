// A small HTTP/1.1 server and client on loopback sockets, for the stand-ins of the cases.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Reply {
  int status = 200;
  std::string body;
  // Nothing is sent and the connection is closed.
  bool is_lost = false;
};

inline sockaddr_in EndpointOf(const std::string& host, int port) {
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &endpoint.sin_addr);
  return endpoint;
}

// Whether the port can be listened on now.
inline bool IsFree(const std::string& host, int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in endpoint = EndpointOf(host, port);
  const bool is_free =
      bind(descriptor, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) == 0;
  close(descriptor);
  return is_free;
}

inline bool SendAll(int descriptor, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

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

// Reads one message; `first_line` and `headers` are filled from its head. False at the end of the
// stream.
inline bool ReadMessage(int descriptor, std::string& pending, std::string& first_line,
                        std::map<std::string, std::string>& headers, std::string& body) {
  const auto read_more = [&] {
    char bytes[16384];
    const ssize_t count = recv(descriptor, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    pending.append(bytes, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = 0;
  while ((end = pending.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more()) {
      return false;
    }
  }
  const std::string head = pending.substr(0, end);
  pending.erase(0, end + 4);
  std::size_t line = head.find("\r\n");
  first_line = head.substr(0, line);
  while (line != std::string::npos) {
    const std::size_t next = head.find("\r\n", line + 2);
    const std::string text =
        head.substr(line + 2, next == std::string::npos ? next : next - line - 2);
    const std::size_t colon = text.find(':');
    if (colon != std::string::npos) {
      std::string name = text.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
      const std::size_t value = text.find_first_not_of(' ', colon + 1);
      headers[name] = value == std::string::npos ? "" : text.substr(value);
    }
    line = next;
  }
  const std::size_t length =
      headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
  while (pending.size() < length) {
    if (!read_more()) {
      return false;
    }
  }
  body = pending.substr(0, length);
  pending.erase(0, length);
  return true;
}

// One thread a connection. Stop() resets all connections and closes the listener, as the end of the
// server's process would.
class Server {
 public:
  using Handler = std::function<Reply(const Request&)>;

  // Further connections wait until one of the others is closed.
  Server(std::string host, int port, Handler handler, int max_connections = 4'000)
      : m_host(std::move(host)),
        m_port(port),
        m_handler(std::move(handler)),
        m_max_connections(max_connections) {}
  ~Server() { Stop(); }

  void Start() {
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in endpoint = EndpointOf(m_host, m_port);
    if (bind(m_listener, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) != 0 ||
        listen(m_listener, 1024) != 0) {
      throw std::runtime_error("can't listen on " + m_host + ":" + std::to_string(m_port));
    }
    m_is_stopped = false;
    m_acceptor = std::thread([this] { Accept(); });
  }

  void Stop() {
    if (m_is_stopped.exchange(true)) {
      return;
    }
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      for (const int descriptor : m_connections) {
        const linger reset{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(descriptor, SHUT_RDWR);
      }
    }
    while (m_threads > 0) {
      std::this_thread::sleep_for(Ms(1));
    }
  }

 private:
  void Accept() {
    while (!m_is_stopped) {
      if (m_threads >= m_max_connections) {
        std::this_thread::sleep_for(Ms(1));
        continue;
      }
      pollfd ready{m_listener, POLLIN, 0};
      if (poll(&ready, 1, 20) != 1 || m_is_stopped) {
        continue;
      }
      const int descriptor = accept(m_listener, nullptr, nullptr);
      if (descriptor < 0) {
        continue;
      }
      const int on = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      ++m_threads;
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.insert(descriptor);
      }
      std::thread([this, descriptor] {
        Serve(descriptor);
        {
          const std::lock_guard<std::mutex> lock(m_mutex);
          m_connections.erase(descriptor);
          close(descriptor);
        }
        --m_threads;
      }).detach();
    }
  }

  void Serve(int descriptor) {
    std::string pending;
    while (!m_is_stopped) {
      Request request;
      std::string line;
      if (!ReadMessage(descriptor, pending, line, request.headers, request.body)) {
        return;
      }
      const std::size_t space = line.find(' ');
      request.method = line.substr(0, space);
      std::string target = line.substr(space + 1, line.rfind(' ') - space - 1);
      const std::size_t mark = target.find('?');
      if (mark != std::string::npos) {
        ParseQuery(target.substr(mark + 1), request.query);
        target.resize(mark);
      }
      request.path = target;
      const Reply reply = m_handler(request);
      if (reply.is_lost || m_is_stopped) {
        return;
      }
      if (!SendAll(descriptor, "HTTP/1.1 " + std::to_string(reply.status) +
                                   " Answer\r\nContent-Type: application/json\r\n"
                                   "Content-Length: " +
                                   std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body)) {
        return;
      }
    }
  }

  static void ParseQuery(const std::string& text, std::map<std::string, std::string>& query) {
    std::size_t begin = 0;
    while (begin <= text.size()) {
      const std::size_t end = std::min(text.find('&', begin), text.size());
      const std::string pair = text.substr(begin, end - begin);
      const std::size_t equals = pair.find('=');
      if (equals != std::string::npos) {
        query[pair.substr(0, equals)] = Unescape(pair.substr(equals + 1));
      }
      begin = end + 1;
    }
  }

  const std::string m_host;
  const int m_port;
  const Handler m_handler;
  const int m_max_connections;
  int m_listener = -1;
  std::atomic<bool> m_is_stopped{true};
  std::atomic<int> m_threads{0};
  std::thread m_acceptor;
  std::mutex m_mutex;
  std::set<int> m_connections;
};

struct Answer {
  // 0: none came.
  int status = 0;
  std::string body;
};

// Sends one request on a new connection.
inline Answer Call(const std::string& host, int port, const std::string& method,
                   const std::string& path, const std::map<std::string, std::string>& headers,
                   const std::string& body, Ms limit) {
  Answer answer;
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  timeval timeout{limit.count() / 1000, static_cast<suseconds_t>(limit.count() % 1000 * 1000)};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const sockaddr_in endpoint = EndpointOf(host, port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&endpoint), sizeof(endpoint)) == 0) {
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string pending;
    std::string line;
    std::map<std::string, std::string> answer_headers;
    if (SendAll(descriptor, text) &&
        ReadMessage(descriptor, pending, line, answer_headers, answer.body)) {
      answer.status = std::stoi(line.substr(line.find(' ') + 1, 3));
    }
  }
  close(descriptor);
  return answer;
}

}  // namespace review
