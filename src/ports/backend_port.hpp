// What the application needs of backend servers, as concepts.
//
// Index: 1 stream_event, 2 engine_call, 3 service_call, 4 event_verdict, 5 backend_port
#ifndef MARIGOLDCRANK_PORTS_BACKEND_PORT_HPP
#define MARIGOLDCRANK_PORTS_BACKEND_PORT_HPP

#include "domain/backend_server.hpp"
#include "domain/failure.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>

namespace marigoldcrank
{

/// One event of an engine's stream. Events of another request or attempt, or out of
/// sequence, are told apart by the first three fields.
struct stream_event
{
    std::string   request_id;
    std::uint64_t attempt = 0;
    std::uint64_t sequence = 0;      // from 0, one a token
    std::string   text;              // the token; empty in the closing event
    bool          last = false;      // the engine's own end marker
    bool          cancelled = false; // with `last`: ended because it was told to
    std::uint64_t prompt_tokens = 0; // with `last`
    std::uint64_t output_tokens = 0; // with `last`

    bool operator==(stream_event const&) const = default;
};

/// One attempt at a model call.
struct engine_call
{
    std::string            request_id;
    std::uint64_t          attempt = 1;
    std::uint64_t          resume_from = 0; // first sequence still wanted
    std::string            path;            // /v1/chat/completions or /v1/completions
    std::string            body; // as the caller sent it, less what names the caller
    std::string            traceparent;
    std::string            workspace; // for the engine's priorities; never the key
    boot_clock::time_point deadline = boot_clock::time_point::max(); // ends the attempt
};

/// A call of a plain service.
struct service_call
{
    std::string            request_id;
    std::string            method;
    std::string            path;
    std::string            content_type;
    std::string            body;
    std::string            traceparent;
    boot_clock::time_point deadline = boot_clock::time_point::max(); // ends the call
};

struct service_answer
{
    int         status = 0;
    std::string content_type;
    std::string body;

    bool operator==(service_answer const&) const = default;
};

/// What an event was worth to the request.
enum class event_verdict
{
    progress, // a token of its own, or its end marker: the progress timeout starts again
    no_progress,
    complete // nothing more is wanted; the stream gets a moment to end in good order
};

using event_sink = std::function<event_verdict(stream_event const&)>;

/// Exchanges with backend servers. All calls block; `stream` calls the sink for each
/// event on the calling thread.
template <class Backend>
concept backend_port = requires(Backend& backend, backend_server const& server,
                                engine_call const& call, service_call const& service,
                                event_sink const& sink)
{
    /// Fails with transport_failure: not_connected means that the engine got nothing,
    /// answer_lost that the connection broke, silent that progress or deadline ran out.
    {
        backend.stream(server, call, sink)
        } -> std::same_as<leaf::result<void>>;
    /// Fails with transport_failure; not_connected means that the service got nothing.
    {
        backend.call(server, service)
        } -> std::same_as<leaf::result<service_answer>>;
    /// Stops an attempt at the engine, which then sends its closing event; lost cancels
    /// only cost the engine's time.
    {
        backend.cancel(server, call.request_id, call.attempt)
        } -> std::same_as<void>;
    /// Fails with transport_failure or message_failure.
    {
        backend.load(server)
        } -> std::same_as<leaf::result<load_report>>;
};

} // namespace marigoldcrank

#endif
