// An HTTP/1.1 client connection to a backend server or to the platform, for coroutines.
//
// Index: 1 io_result, 2 response_framing, 3 tcp_options, 4 http_connection
#ifndef MARIGOLDCRANK_SERVING_HTTP_CONNECTION_HPP
#define MARIGOLDCRANK_SERVING_HTTP_CONNECTION_HPP

#include "domain/entry_settings.hpp"
#include "policy/carried_calls.hpp"
#include "policy/response_end.hpp"
#include "serving/message_limits.hpp"
#include "serving/wire_dialect.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <optional>

namespace marigoldcrank
{

/// Clock of the event loop, for deadlines of I/O. It stops while the VM is suspended;
/// decisions that must include that time use boot_clock.
using loop_clock = std::chrono::steady_clock;
using loop_time = loop_clock::time_point;

/// Result of a connect, a send, or the reading of a head.
enum class io_result
{
    ok,
    timed_out,
    broken,   // closed by either side, reset, or unreachable
    malformed // the bytes are not an HTTP response
};

/// What marks the end of a response.
enum class response_framing
{
    length, // a Content-Length, or a status or method without a body
    chunks,
    connection // nothing but the end of the connection
};

/// The name of the framing for logs.
char const* response_framing_name(response_framing value);

/// TCP options of connections to callers and servers.
struct tcp_options
{
    // 1  s of idleness before the first keepalive probe, 1 s between probes; 2 unanswered
    //    probes close the connection
    int keepalive_idle_s = 1;
    int keepalive_interval_s = 1;
    int keepalive_probes = 2;
    // 2500  ms; TCP_USER_TIMEOUT: sent bytes unacknowledged for longer close the
    //       connection
    unsigned user_timeout_ms = 2500;

    bool operator==(tcp_options const&) const = default;
};

/// Sets TCP_NODELAY, the keepalive probes and TCP_USER_TIMEOUT. Without the latter two, a
/// connection whose peer vanishes without a reset hangs for minutes.
void set_tcp_options(boost::asio::ip::tcp::socket& socket, tcp_options const& options);

/// Carries one request at a time. Closing it ends the operation in progress as `broken`.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    explicit http_connection(boost::asio::any_io_executor executor);

    boost::asio::awaitable<io_result> connect(socket_address const& address,
                                              loop_time             until);

    /// Sends a request. A long body is written in the background, since a server may
    /// respond before it has read the body, or without reading all of it.
    boost::asio::awaitable<io_result> send(http_request request, loop_time until);

    /// Reads the head of the next response, and skips informational (1xx) ones. Heads
    /// that leave open which response they belong to, or where it ends, are malformed.
    boost::asio::awaitable<io_result> read_head(bool head_only, loop_time until);

    /// The head of the latest final response, without the fields of a trailer.
    response_head const& head() const;

    /// How the response is framed whose head has been read.
    response_framing framing() const;

    /// Waits for the next bytes of the body and appends them to `out`.
    boost::asio::awaitable<body_result> read_body(std::string& out, loop_time until);

    /// Local TCP port, also after the connection was closed; 0: never connected.
    std::int64_t local_port() const noexcept
    {
        return local_port_;
    }

    /// Whether another request may follow: request sent, response complete, no bytes
    /// after it.
    bool reusable() const;

    /// Returns false if the peer has closed, or if unexpected bytes wait to be read.
    bool is_idle() const;

    void close();

    /// Gives up the socket, to which nothing has been sent and from which nothing has
    /// been read.
    boost::asio::ip::tcp::socket release_socket();

    boot_clock::time_point connected{}; // when the connection to the server was made
    loop_time              last_used{};
    std::optional<millis>  idle_limit;
    std::string            proxy; // address of the VM that relays it; empty: own link
    carried_calls          carried;

private:
    using message_parser =
        boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    static constexpr std::size_t body_chunk_size = 16384;

    static constexpr message_limits limits{};

    /// How the body ended, once the parser has reached its end.
    body_result end_of_body() const;
    /// Whether the peer has ended its side, and the connection was not reset.
    bool closed_by_peer() const;

    boost::beast::tcp_stream      stream_;
    boost::beast::flat_buffer     buffer_{limits.part};
    std::optional<message_parser> parser_;
    // Of a chunked response: the parser adds the fields of its trailer to its own.
    std::optional<response_head> head_;
    std::size_t                  body_bytes_ = 0;    // of the response so far
    std::size_t                  framing_bytes_ = 0; // besides
    std::int64_t                 local_port_ = 0;
    bool                         writing_ = false;
    bool                         write_failed_ = false;
    bool                         complete_ = false;
    bool                         head_only_ = false; // the response has no body
};

} // namespace marigoldcrank

#endif
