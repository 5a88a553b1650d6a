// backend_port: the calls to engines and services that the application makes, as a
// concept.
//
// Index: 1 stream_event, 2 engine_call, 3 service_call, service_response,
//        4 event_verdict, 5 backend_port
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

/// One event of an engine's stream. The first three fields identify events that belong to
/// another request or attempt or are out of sequence.
struct stream_event
{
    std::string   request_id;
    std::uint64_t attempt = 0;
    std::uint64_t sequence = 0;      // from 0, one per token
    std::string   text;              // the token; empty in the closing event
    bool          last = false;      // the engine's end marker
    bool          cancelled = false; // with `last`: the engine was asked to stop
    std::uint64_t prompt_tokens = 0; // with `last`: length of the prompt
    std::uint64_t output_tokens = 0; // with `last`: tokens generated

    bool operator==(stream_event const&) const = default;
};

/// One attempt of a model call at an engine.
struct engine_call
{
    std::string   request_id;
    std::uint64_t attempt = 1;
    std::uint64_t resume_from = 0; // first sequence number that is still needed
    std::string   path;            // /v1/chat/completions or /v1/completions
    std::string   body; // the caller's, without the fields that identify the caller
    std::string   traceparent;
    std::string   workspace; // for the engine's priorities; never the API key
    boot_clock::time_point deadline = boot_clock::time_point::max(); // ends the attempt
};

/// One attempt of a call at a plain service.
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

/// The HTTP response of a plain service.
struct service_response
{
    int         status = 0; // HTTP status
    std::string content_type;
    std::string body;

    bool operator==(service_response const&) const = default;
};

/// What an event means for the progress of the attempt.
enum class event_verdict
{
    progress,    // a new token or the end marker: the progress timeout starts again
    no_progress, // an event that doesn't belong to the attempt: the timeout runs on
    complete // no further event is needed; the stream gets a short time to end by itself
};

/// Receives each event of a stream.
using event_sink = std::function<event_verdict(stream_event const&)>;

/// Exchanges with backend servers. All functions block; `stream` calls the sink for each
/// event on the calling thread.
template <class Backend>
concept backend_port = requires(Backend& backend, backend_server const& server,
                                engine_call const& call, service_call const& service,
                                event_sink const& sink)
{
    /// Streams an attempt. Fails with transport_failure: not_connected means that the
    /// engine received nothing, response_lost that the connection broke, silent that
    /// there was no progress in time or that the deadline passed.
    {
        backend.stream(server, call, sink)
        } -> std::same_as<leaf::result<void>>;
    /// Calls a plain service. Fails with transport_failure; not_connected means that the
    /// service received nothing.
    {
        backend.call(server, service)
        } -> std::same_as<leaf::result<service_response>>;
    /// Stops an attempt at the engine, which then sends its closing event. If a cancel is
    /// lost, the engine only spends time in vain.
    {
        backend.cancel(server, call.request_id, call.attempt)
        } -> std::same_as<void>;
    /// Reads the load of an engine. Fails with transport_failure or message_failure.
    {
        backend.load(server)
        } -> std::same_as<leaf::result<load_report>>;
};

} // namespace marigoldcrank

#endif
