// Which server version wrote the stream that a call takes up or begins.
//
// Index: call_origin
#ifndef MARIGOLDCRANK_SERVING_CALL_ORIGIN_HPP
#define MARIGOLDCRANK_SERVING_CALL_ORIGIN_HPP

#include "serving/call_context.hpp"
#include "serving/origin_link.hpp"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace marigoldcrank
{

/// Keeps a stream at one version over its attempts and its caller's tries: another
/// version can't go on with what the first has written.
class call_origin
{
public:
    explicit call_origin(call_context& context);

    /// Finds what began the stream that the caller takes up, and allows only servers that
    /// can go on with it. Returns false if that isn't known.
    boost::asio::awaitable<bool> find();

    /// Keeps the call at the version of the server that wrote its first event, and
    /// records it for the caller's further tries.
    void record(backend_server const& server);

private:
    /// Sends the call to this service of its route. Returns false if the route has no
    /// such service.
    bool serve_at(std::string const& service);

    /// The key of the stream: of the try that brought its first event.
    std::uint64_t origin_key() const;

    millis stream_span();

    call_context& context_;
};

} // namespace marigoldcrank

#endif
