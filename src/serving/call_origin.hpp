// Finds and records the server version that began a call's stream.
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

/// Keeps a stream at one version over all attempts, also when its caller asks again:
/// another version can't go on with what the first one has written.
class call_origin
{
public:
    explicit call_origin(call_context& context);

    /// Finds what began the stream that the caller resumes, and allows only servers that
    /// can go on with it. Returns false if its origin isn't known.
    boost::asio::awaitable<bool> find();

    /// Keeps the call at the version of the server that wrote its first event, and
    /// records it for the caller's further tries.
    void record(backend_server const& server);

    /// The caller has the whole stream and won't take it up again.
    void end();

private:
    /// Sends the call to this service of its route. Returns false if the route has no
    /// such service.
    bool serve_at(std::string const& service);

    /// Whether any server of what began the stream is listed.
    bool is_listed(stream_origin const& origin) const;

    /// The key of the stream, by the id of the caller's request that got its first event.
    std::uint64_t origin_key() const;

    /// How long the origin must be known.
    millis stream_span();

    call_context& context_;
};

} // namespace marigoldcrank

#endif
