// Formats responses to callers: refusals and failures of this VM, and relayed ones.
//
// Index: 1 own_response, 2 format functions
#ifndef MARIGOLDCRANK_SERVING_OWN_RESPONSE_HPP
#define MARIGOLDCRANK_SERVING_OWN_RESPONSE_HPP

#include "domain/boot_clock.hpp"
#include "domain/failure.hpp"
#include "serving/wire_dialect.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// A response that this VM generates itself.
struct own_response
{
    unsigned              status = 503;
    call_fate             fate = call_fate::not_run;
    std::string_view      cause;       // one word for logs, metrics and the body
    std::optional<millis> retry_after; // for not_run only

    bool operator==(own_response const&) const = default;
};

/// The complete response as bytes; only its head with `head_only`, to a HEAD request.
std::string format_own_response(own_response const& reply, bool close, bool head_only);

/// A server's response as bytes, with end-to-end fields only and a new Content-Length.
/// With `head_only`, to a HEAD request, only its head, with the length that the server
/// stated, if any.
std::string format_response(response_head const& head, std::string const& body,
                            bool close, bool head_only);

/// The head of a stream. Its events follow in chunks, or until the connection closes for
/// a caller without support for chunked coding.
std::string format_stream_head(response_head const& head, bool close, bool chunked);

/// One chunk of a chunked body.
std::string format_chunk(std::string_view bytes);

/// The chunk that ends a complete stream.
constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace marigoldcrank

#endif
