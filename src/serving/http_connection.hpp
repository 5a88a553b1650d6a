// One HTTP/1.1 connection to a backend server or to the platform, driven by coroutines.
//
// Index: 1 link_step, 2 body_step, 3 connection_options, 4 http_connection
#ifndef MARIGOLDCRANK_SERVING_HTTP_CONNECTION_HPP
#define MARIGOLDCRANK_SERVING_HTTP_CONNECTION_HPP

#include "domain/entry_settings.hpp"
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

/// Time of the event loop; a deadline of I/O, never of a decision that must count a
/// suspension.
using loop_clock = std::chrono::steady_clock;
using loop_time = loop_clock::time_point;

/// How one step on a connection ended.
enum class link_step
{
    ok,
    timed_out,
    broken,   // closed, reset, unreachable, or closed by us
    malformed // bytes that are no answer in the protocol
};

/// How reading a part of a body ended.
enum class body_step
{
    more,
    whole,
    broken,
    timed_out
};

struct connection_options
{
    // 1  s; an idle connection is probed after this, and again after each further one
    int probe_idle_s = 1;
    int probe_every_s = 1;
    int probe_count = 2;
    // 2500  ms; sent bytes that nobody acknowledges end the connection
    unsigned unacknowledged_ms = 2500;

    bool operator==(connection_options const&) const = default;
};

/// Sets no-delay, probes and the bound on unacknowledged bytes. Failure guarded against:
/// a peer that vanishes without a reset; without these the connection hangs for minutes.
void set_link_options(boost::asio::ip::tcp::socket& socket,
                      connection_options const&     options);

/// At most one request at a time. Closing it ends any step in progress with `broken`.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    explicit http_connection(boost::asio::any_io_executor executor);

    boost::asio::awaitable<link_step> connect(socket_address const& address,
                                              loop_time             until);

    /// Sends a request. A long body goes on in the background: a server may answer before
    /// it has read it, and one that doesn't read on must not hold up its answer.
    boost::asio::awaitable<link_step> send(http_request request, loop_time until);

    /// Reads the head of the next answer, past informational ones.
    boost::asio::awaitable<link_step> read_head(bool head_only, loop_time until);

    answer_head const& head() const;

    /// Appends what has arrived of the body.
    boost::asio::awaitable<body_step> read_body(std::string& out, loop_time until);

    /// True if another request may follow: whole answer, no stray bytes, request through.
    bool reusable() const;

    /// False if the other side has closed, or bytes wait that no request asked for.
    bool quiet() const;

    void close();

    loop_time             last_used{};
    std::optional<millis> idle_limit;

private:
    using answer_parser =
        boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    static constexpr std::size_t body_piece = 16384;

    boost::beast::tcp_stream     stream_;
    boost::beast::flat_buffer    buffer_;
    std::optional<answer_parser> parser_;
    bool                         writing_ = false;
    bool                         write_failed_ = false;
    bool                         whole_ = false;
};

} // namespace marigoldcrank

#endif
