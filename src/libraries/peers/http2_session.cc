#include "libraries/peers/http2_session.h"

#include <fmt/format.h>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "libraries/base/try.h"

namespace papayalift {

namespace {

constexpr char kPath[] = "/heartbeat";
constexpr std::uint32_t kMaxHeaderListBytes = 1'024;

struct Stream {
  std::string incoming;
  std::string outgoing;
  std::size_t sent = 0;
};

/// The result refers to `name` and `value`, which must outlive it.
nghttp2_nv MakeHeader(std::string_view name, std::string_view value) {
  nghttp2_nv header{};
  header.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
  header.namelen = name.size();
  header.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
  header.valuelen = value.size();
  header.flags = NGHTTP2_NV_FLAG_NONE;
  return header;
}

absl::Status StatusFromCode(std::int64_t code) {
  if (code >= 0) {
    return absl::OkStatus();
  }
  return absl::InternalError(
      fmt::format("HTTP/2 session: {}", nghttp2_strerror(static_cast<int>(code))));
}

ssize_t ReadOutgoing(nghttp2_session* /*session*/, std::int32_t /*id*/, std::uint8_t* buffer,
                     std::size_t length, std::uint32_t* flags, nghttp2_data_source* source,
                     void* /*user*/) {
  Stream& stream = *static_cast<Stream*>(source->ptr);
  const std::size_t count = std::min(length, stream.outgoing.size() - stream.sent);
  std::copy_n(stream.outgoing.data() + stream.sent, count, buffer);
  stream.sent += count;
  if (stream.sent == stream.outgoing.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(count);
}

nghttp2_data_provider MakeProvider(Stream& stream) {
  nghttp2_data_provider provider{};
  provider.source.ptr = &stream;
  provider.read_callback = ReadOutgoing;
  return provider;
}

}  // namespace

class Http2Session::Engine {
 public:
  Engine(Http2Role role, const PeerLimits& limits, MessageHandler handler)
      : m_role(role), m_limits(limits), m_handler(std::move(handler)) {}

  ~Engine() { nghttp2_session_del(m_session); }
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  absl::Status Open() {
    nghttp2_session_callbacks* callbacks = nullptr;
    TRY(StatusFromCode(nghttp2_session_callbacks_new(&callbacks)));
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, OnBeginHeaders);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnStreamClose);
    const int code = m_role == Http2Role::kClient
                         ? nghttp2_session_client_new(&m_session, callbacks, this)
                         : nghttp2_session_server_new(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    TRY(StatusFromCode(code));
    const std::array<nghttp2_settings_entry, 2> settings{
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
          static_cast<std::uint32_t>(m_limits.open_streams)},
         {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kMaxHeaderListBytes}}};
    return StatusFromCode(
        nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size()));
  }

  absl::Status Receive(std::string_view bytes) {
    const ssize_t consumed = nghttp2_session_mem_recv(
        m_session, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    TRY(m_error);
    TRY(StatusFromCode(consumed));
    const bool ended = nghttp2_session_want_read(m_session) == 0;
    return ended ? absl::UnavailableError("the peer ended the session") : absl::OkStatus();
  }

  absl::Status Send(std::string message) {
    if (m_streams.size() >= m_limits.open_streams) {
      return absl::ResourceExhaustedError("too many unanswered messages to the peer");
    }
    Stream stream;
    stream.outgoing = std::move(message);
    const std::array<nghttp2_nv, 4> headers{
        MakeHeader(":method", "POST"), MakeHeader(":scheme", "http"), MakeHeader(":path", kPath),
        MakeHeader(":authority", "peer")};
    // The next stream id is known before submission, so the state that the data provider points to
    // can be stored first.
    const std::int32_t id =
        static_cast<std::int32_t>(nghttp2_session_get_next_stream_id(m_session));
    Stream& kept = m_streams[id] = std::move(stream);
    const nghttp2_data_provider provider = MakeProvider(kept);
    return StatusFromCode(nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(),
                                                 &provider, nullptr));
  }

  absl::Status TakeOutput(std::string& output) {
    while (output.size() < m_limits.output_bytes) {
      const std::uint8_t* bytes = nullptr;
      const ssize_t count = nghttp2_session_mem_send(m_session, &bytes);
      TRY(StatusFromCode(count));
      if (count == 0) {
        return absl::OkStatus();
      }
      output.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(count));
    }
    return absl::ResourceExhaustedError("pending output to the peer exceeds the limit");
  }

 private:
  static int OnBeginHeaders(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
    Engine& self = *static_cast<Engine*>(user);
    if (self.m_role == Http2Role::kServer) {
      self.m_streams.try_emplace(frame->hd.stream_id);
    }
    return 0;
  }

  static int OnData(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t id,
                    const std::uint8_t* bytes, std::size_t length, void* user) {
    Engine& self = *static_cast<Engine*>(user);
    std::string& incoming = self.m_streams[id].incoming;
    if (incoming.size() + length > self.m_limits.message_bytes) {
      return self.Fail(
          absl::ResourceExhaustedError("message from the peer exceeds the size limit"));
    }
    incoming.append(reinterpret_cast<const char*>(bytes), length);
    return 0;
  }

  static int OnFrame(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
    const bool carries_message =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    const bool last = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    return carries_message && last ? static_cast<Engine*>(user)->HandleMessage(frame->hd.stream_id)
                                   : 0;
  }

  static int OnStreamClose(nghttp2_session* /*session*/, std::int32_t id, std::uint32_t /*error*/,
                           void* user) {
    static_cast<Engine*>(user)->m_streams.erase(id);
    return 0;
  }

  int HandleMessage(std::int32_t id) {
    Stream& stream = m_streams[id];
    absl::StatusOr<std::string> answer = m_handler(stream.incoming);
    if (!answer.ok()) {
      return Fail(answer.status());
    }
    if (m_role == Http2Role::kClient) {
      return 0;
    }
    stream.outgoing = *std::move(answer);
    const std::array<nghttp2_nv, 1> headers{MakeHeader(":status", "200")};
    const nghttp2_data_provider provider = MakeProvider(stream);
    return nghttp2_submit_response(m_session, id, headers.data(), headers.size(), &provider) == 0
               ? 0
               : NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  int Fail(absl::Status reason) {
    m_error = std::move(reason);
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  const Http2Role m_role;
  const PeerLimits m_limits;
  const MessageHandler m_handler;
  nghttp2_session* m_session = nullptr;
  std::map<std::int32_t, Stream> m_streams;
  absl::Status m_error;
};

Http2Session::Http2Session(std::unique_ptr<Engine> engine) : m_engine(std::move(engine)) {}

Http2Session::~Http2Session() = default;

absl::StatusOr<std::unique_ptr<Http2Session>> Http2Session::Create(Http2Role role,
                                                                   const PeerLimits& limits,
                                                                   MessageHandler handler) {
  std::unique_ptr<Engine> engine = std::make_unique<Engine>(role, limits, std::move(handler));
  TRY(engine->Open());
  return std::unique_ptr<Http2Session>(new Http2Session(std::move(engine)));
}

absl::Status Http2Session::Receive(std::string_view bytes) { return m_engine->Receive(bytes); }

absl::Status Http2Session::Send(std::string message) { return m_engine->Send(std::move(message)); }

absl::Status Http2Session::TakeOutput(std::string& output) { return m_engine->TakeOutput(output); }

}  // namespace papayalift
