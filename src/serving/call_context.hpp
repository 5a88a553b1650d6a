// What the steps that serve one call share.
//
// Index: 1 connection_disposition, 2 call_context
#ifndef MARIGOLDCRANK_SERVING_CALL_CONTEXT_HPP
#define MARIGOLDCRANK_SERVING_CALL_CONTEXT_HPP

#include "serving/call_admission.hpp"
#include "serving/call_attempts.hpp"
#include "serving/call_log.hpp"
#include "serving/caller_socket.hpp"
#include "serving/model_placement.hpp"
#include "serving/stream_relay.hpp"
#include "serving/stream_timing.hpp"

#include <string_view>
#include <utility>

namespace marigoldcrank
{

/// What happens to the caller's connection after a call.
enum class connection_disposition
{
    keep,
    close,  // gracefully: the response is delivered first
    aborted // the connection has been closed or reset already
};

/// One call: what came in, what has been decided, and how it ended. Lives as long as the
/// call.
struct call_context
{
    call_context(entry_state& node, caller_socket& connection,
                 http_request const& message, caller_call parsed)
        : state(node), caller(connection), request(message), call(std::move(parsed)),
          arrived(boot_clock::now()), log(state, call, arrived),
          placement(state, call, admitted), timing(arrived),
          keep_alive(request.keep_alive() && !state.draining),
          stream(!keep_alive, supports_chunks()), attempts(state, log, call, admitted)
    {
    }

    call_context(call_context const&) = delete;
    call_context& operator=(call_context const&) = delete;

    /// Whether the response has no body whatever it says.
    bool head_only() const
    {
        return request.method() == boost::beast::http::verb::head;
    }

    bool is_stream() const
    {
        return admitted.matched->kind == call_kind::stream && !head_only();
    }

    /// Whether the final response has been sent, or the connection aborted.
    bool ended() const noexcept
    {
        return !outcome.empty();
    }

    /// Time until the deadline of the final response; negative once it has passed.
    millis until_deadline() const
    {
        return std::chrono::duration_cast<millis>(admitted.deadline - loop_clock::now());
    }

    bool supports_chunks() const
    {
        constexpr unsigned http_1_1 = 11;
        return request.version() >= http_1_1;
    }

    entry_state&           state;
    caller_socket&         caller;
    http_request const&    request;
    caller_call            call;
    boot_clock::time_point arrived;
    call_log               log;
    admitted_call          admitted;
    model_placement        placement;
    stream_timing          timing;
    bool                   keep_alive;
    stream_relay           stream;
    call_attempts          attempts;

    std::string_view       outcome; // empty: not ended
    std::string_view       framing; // of the last response, for logs
    unsigned               status = 0;
    connection_disposition disposition = connection_disposition::close;
};

} // namespace marigoldcrank

#endif
