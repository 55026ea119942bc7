#include "libraries/peers/http2_session.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <vector>

namespace papayalift {

namespace {

/// A client and a server session; the test moves the bytes between them.
struct SessionPairFixture {
  SessionPairFixture()
      : client(*Http2Session::Create(Http2Role::kClient, limits,
                                     [this](const std::string& answer) {
                                       answers.push_back(answer);
                                       return absl::StatusOr<std::string>("");
                                     })),
        server(
            *Http2Session::Create(Http2Role::kServer, limits, [this](const std::string& message) {
              messages.push_back(message);
              return absl::StatusOr<std::string>("re " + message);
            })) {}

  /// Moves bytes in both directions, `chunk_size` at a time, until none are left.
  absl::Status Exchange(std::size_t chunk_size) {
    while (true) {
      std::string to_server;
      std::string to_client;
      absl::Status status = client->TakeOutput(to_server);
      status.Update(server->TakeOutput(to_client));
      status.Update(Deliver(*server, to_server, chunk_size));
      status.Update(Deliver(*client, to_client, chunk_size));
      if (!status.ok() || (to_server.empty() && to_client.empty())) {
        return status;
      }
    }
  }

  static absl::Status Deliver(Http2Session& session, std::string_view bytes,
                              std::size_t chunk_size) {
    absl::Status status;
    for (; !bytes.empty() && status.ok(); bytes.remove_prefix(std::min(chunk_size, bytes.size()))) {
      status = session.Receive(bytes.substr(0, chunk_size));
    }
    return status;
  }

  PeerLimits limits;
  std::vector<std::string> messages;
  std::vector<std::string> answers;
  std::unique_ptr<Http2Session> client;
  std::unique_ptr<Http2Session> server;
};

}  // namespace

Test(http2_session, messages_in_chunks_of_any_size_arrive_whole_and_are_answered) {
  cr_assert(rc::check([] {
    SessionPairFixture pair;
    const std::vector<std::string> sent = *rc::gen::container<std::vector<std::string>>(
        rc::gen::map(rc::gen::inRange<std::size_t>(1, 2'000),
                     [](std::size_t size) { return std::string(size, 'h'); }));
    const std::size_t chunk_size = *rc::gen::inRange<std::size_t>(1, 100);
    for (const std::string& message : sent) {
      RC_ASSERT(pair.client->Send(message).ok());
      RC_ASSERT(pair.Exchange(chunk_size).ok());
    }
    RC_ASSERT(pair.messages == sent);
    RC_ASSERT(pair.answers.size() == sent.size());
  }));
}

Test(http2_session, send_message_above_the_limit_fails_the_receiver) {
  SessionPairFixture pair;
  cr_assert(pair.client->Send(std::string(pair.limits.message_bytes + 1, 'h')).ok());
  cr_assert_not(pair.Exchange(1'000).ok());
  cr_assert(pair.messages.empty());
}

Test(http2_session, send_without_answers_at_the_limit_is_refused) {
  SessionPairFixture pair;
  for (std::size_t count = 0; count < pair.limits.open_streams; ++count) {
    cr_assert(pair.client->Send("beat").ok());
  }
  cr_assert(absl::IsResourceExhausted(pair.client->Send("beat")));
}

Test(http2_session, receive_arbitrary_bytes_delivers_no_message) {
  cr_assert(rc::check([] {
    SessionPairFixture pair;
    const std::string bytes = *rc::gen::arbitrary<std::string>();
    static_cast<void>(pair.server->Receive(bytes));
    RC_ASSERT(pair.messages.empty());
  }));
}

Test(http2_session, receive_bytes_that_are_not_http2_fails) {
  SessionPairFixture pair;
  cr_assert_not(pair.server->Receive("GET / HTTP/1.1\r\nHost: a\r\n\r\n").ok());
}

}  // namespace papayalift
