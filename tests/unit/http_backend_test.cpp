// Clients of engines and services that send malformed reports and events, or bytes
// without end.
//
// Index: 1 malformed reports and events, 2 endless responses, 3 heads that are cut short
#include "adapters/http_backend.hpp"
#include "adapters/http_engine_state.hpp"
#include "platform/support/wire_server.hpp"
#include "support/port_block.hpp"

#include <httplib.h>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

namespace marigoldcrank
{
namespace
{

// 1. Malformed reports and events

/// An engine in the test process that sends the same text for every request.
class fake_engine
{
public:
    explicit fake_engine(std::string const& text)
    {
        auto const answer = [text](auto const&, auto& response)
        {
            response.set_content(text, "text/event-stream");
        };
        server_.Get(".*", answer);
        server_.Post(".*", answer);
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = std::thread([this] { server_.listen_after_bind(); });
    }

    ~fake_engine()
    {
        server_.stop();
        thread_.join();
    }

    backend_server address() const
    {
        return {.id = "engine", .host = "127.0.0.1", .port = port_};
    }

private:
    httplib::Server server_;
    int             port_ = 0;
    std::thread     thread_;
};

/// The number of running streams that is read from the report; -1 for a failure.
std::int64_t read_running(std::string const& report)
{
    fake_engine  engine(report);
    http_backend backend({}, millis{500}, "node");
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::int64_t>
        {
            BOOST_LEAF_AUTO(load, backend.load(engine.address()));
            return load.running;
        },
        [] { return std::int64_t{-1}; });
}

TEST(http_backend, reads_load_fields_of_the_wrong_type_as_missing)
{
    EXPECT_EQ(read_running(R"({"running":3})"), 3);
    EXPECT_EQ(read_running(R"({"running":"many","role":7,"lag_ms":null,"leaving":1})"),
              0);
    EXPECT_EQ(read_running("[1]"), -1);
    EXPECT_EQ(read_running("nonsense"), -1);
}

TEST(http_backend, passes_on_malformed_events_without_a_request_id)
{
    fake_engine  engine("data: {\"request_id\":7,\"attempt\":\"x\",\"last\":2}\n\n");
    http_backend backend({}, millis{500}, "node");
    std::vector<stream_event> events;
    bool const                ended = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(backend.stream(engine.address(), {.path = "/v1/completions"},
                                                           [&](stream_event const& event)
                                                           {
                                                events.push_back(event);
                                                return event_verdict::no_progress;
                                            }));
            return true;
        },
        [] { return false; });
    EXPECT_TRUE(ended);
    EXPECT_EQ(events, std::vector<stream_event>{stream_event{}});
}

// 2. Endless responses

/// A server that replies to one request with `begin`, and then with `more` again and
/// again until the connection is closed or six seconds have passed. Without `more` it
/// closes or resets the connection after `begin`.
class endless_server
{
public:
    endless_server(std::string begin, std::string const& more, bool resets = false)
        : begin_(std::move(begin)), resets_(resets)
    {
        constexpr std::size_t piece = 65536;
        while (!more.empty() && piece_.size() < piece)
        {
            piece_ += more;
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t   size = sizeof address;
        auto* const any = reinterpret_cast<sockaddr*>(&address);
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::bind(listener_, any, size) != 0 || ::listen(listener_, 1) != 0 ||
            ::getsockname(listener_, any, &size) != 0)
        {
            throw std::runtime_error("the endless server cannot listen");
        }
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { run(); });
    }

    ~endless_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    backend_server address() const
    {
        return {.id = "engine", .host = "127.0.0.1", .port = port_};
    }

    /// Waits until the connection has ended.
    std::int64_t bytes()
    {
        while (!ended_)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
        return bytes_;
    }

private:
    void run()
    {
        int const              socket = ::accept(listener_, nullptr, nullptr);
        std::array<char, 4096> request{};
        static_cast<void>(::recv(socket, request.data(), request.size(), 0));
        static_cast<void>(::send(socket, begin_.data(), begin_.size(), MSG_NOSIGNAL));
        auto const end = std::chrono::steady_clock::now() + std::chrono::seconds{6};
        // A closed connection whose window is full fails no send for a minute.
        pollfd peer{socket, POLLOUT | POLLRDHUP, 0};
        while (!piece_.empty() && (peer.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0 &&
               std::chrono::steady_clock::now() < end)
        {
            auto const sent =
                ::send(socket, piece_.data(), piece_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            bytes_ += std::max(sent, ssize_t{0});
            ::poll(&peer, 1, 50);
        }
        linger const at_once{1, 0};
        if (resets_)
        {
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        }
        ::close(socket);
        ended_ = true;
    }

    std::string               begin_;
    std::string               piece_;
    bool                      resets_ = false;
    int                       listener_ = -1;
    int                       port_ = 0;
    std::atomic<std::int64_t> bytes_{0};
    std::atomic<bool>         ended_{false};
    std::thread               thread_;
};

struct endless_case
{
    std::string name;
    std::string begin;
    std::string more;
};

class endless_responses : public testing::TestWithParam<endless_case>
{
protected:
    /// Makes an exchange with such a server. Returns whether it succeeded.
    template <class Exchange>
    bool succeeds(Exchange exchange)
    {
        auto const&    given = GetParam();
        endless_server server(given.begin, given.more);
        http_backend   backend({}, millis{500}, "node");
        auto const     began = std::chrono::steady_clock::now();
        bool const     success = leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_CHECK(exchange(backend, server.address()));
                return true;
            },
            [] { return false; });
        EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds{2});
        EXPECT_LE(server.bytes(), std::int64_t{64} << 20); // half of the smallest VM
        return success;
    }
};

// The client kept reading, at full speed, until its deadline or for ever.
TEST_P(endless_responses, end_soon_without_a_success)
{
    auto const later = []
    {
        return boot_clock::now() + millis{5000};
    };
    EXPECT_FALSE(succeeds([&](http_backend& backend, backend_server const& server)
                          { return backend.call(server, {.deadline = later()}); }));
    EXPECT_FALSE(succeeds(
        [&](http_backend& backend, backend_server const& server)
        {
            return backend.stream(server, {.path = "/", .deadline = later()},
                                  [](auto const&) { return event_verdict::no_progress; });
        }));
    EXPECT_FALSE(succeeds([](http_backend& backend, backend_server const& server)
                          { return backend.load(server); }));
    EXPECT_FALSE(succeeds(
        [](http_backend&, backend_server const& server) {
            return http_engine_state({.max_silence = millis{500}}, "node").state(server);
        }));
    succeeds(
        [](http_backend& backend, backend_server const& server) -> leaf::result<void>
        {
            backend.cancel(server, "r", 1);
            return {};
        });
}

std::string const chunked_head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    places, endless_responses,
    testing::Values(endless_case{"field", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
                    endless_case{"fields", "HTTP/1.1 200 OK\r\n", "X-Field: x\r\n"},
                    endless_case{"informational_heads", "",
                                 "HTTP/1.1 100 Continue\r\n\r\n"},
                    endless_case{"chunk_extension", chunked_head + "1;", "x"},
                    endless_case{"trailer", chunked_head + "0\r\nX-Long: ", "x"},
                    endless_case{"trailers", chunked_head + "0\r\n", "X-Field: x\r\n"},
                    endless_case{"chunks", chunked_head,
                                 "1000\r\n" + std::string(4096, 'b') + "\r\n"},
                    endless_case{"body_without_length", "HTTP/1.1 200 OK\r\n\r\n", "x"}),
    [](auto const& each) { return each.param.name; });

// 3. Heads that are cut short

/// Whether `exchange` succeeds with a server that sends `head` and ends the connection.
template <class Exchange>
bool succeeds_with(std::string const& head, bool resets, Exchange exchange)
{
    endless_server server(head, "", resets);
    http_backend   backend({}, millis{500}, "node");
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(exchange(backend, server.address()));
            return true;
        },
        [] { return false; });
}

/// Whether a call gets this response of a service.
bool is_response(std::string const& bytes)
{
    tests::port_block        ports;
    auto const               port = ports.next();
    tests::wire_server const server(
        port,
        [&](tests::wire_request const&, tests::wire_connection& connection)
        {
            connection.send(bytes);
            return false;
        });
    http_backend         backend({}, millis{500}, "node");
    backend_server const service{.id = "service", .host = "127.0.0.1", .port = port};
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            auto const until = boot_clock::now() + millis{2000};
            BOOST_LEAF_CHECK(backend.call(service, {.path = "/x", .deadline = until}));
            return true;
        },
        [] { return false; });
}

// Numbers that are no status, and lines that are no field, were given to callers.
TEST(http_backend, malformed_head_is_a_response)
{
    std::string const rest = "\r\nContent-Length: 2\r\n\r\n{}";
    for (std::string const status : {"000", "099", "101", "600", "999"})
    {
        EXPECT_FALSE(is_response("HTTP/1.1 " + status + " X" + rest)) << status;
    }
    for (std::string const line : {"X Y: z", "X\tY: z", "X\x01Y: z", "X : z", "X\x7f: z"})
    {
        EXPECT_FALSE(is_response("HTTP/1.1 200 OK\r\n" + line + rest)) << line;
    }
    EXPECT_TRUE(is_response("HTTP/1.1 404 X" + rest));
    EXPECT_TRUE(is_response("HTTP/1.1 200 X\r\nX-Y: z" + rest));
}

// A server closed in the middle of its response's head, and the caller got a 200 with an
// empty body.
TEST(http_backend, head_that_is_cut_short_is_no_response)
{
    std::string const whole = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                              "X-Sequence: 4\r\nContent-Length: 2\r\n\r\n{}";
    auto const        later = []
    {
        return boot_clock::now() + millis{2000};
    };
    for (std::size_t size = 0; size < whole.size(); ++size)
    {
        for (bool const resets : {false, true})
        {
            auto const head = whole.substr(0, size);
            EXPECT_FALSE(
                succeeds_with(head, resets,
                              [&](http_backend& backend, backend_server const& server)
                              { return backend.call(server, {.deadline = later()}); }))
                << size << resets;
            EXPECT_FALSE(
                succeeds_with(head, resets,
                              [](http_backend& backend, backend_server const& server)
                              { return backend.load(server); }))
                << size << resets;
            EXPECT_FALSE(succeeds_with(
                head, resets,
                [](http_backend&, backend_server const& server) {
                    return http_engine_state({.max_silence = millis{500}}, "node")
                        .state(server);
                }))
                << size << resets;
        }
    }
}

} // namespace
} // namespace marigoldcrank
