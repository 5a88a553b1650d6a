// Answers that the system gives itself: refusals, failures, and the caller's chunk
// framing.
//
// Index: 1 own_reply, 2 format functions
#ifndef MARIGOLDCRANK_SERVING_OWN_REPLY_HPP
#define MARIGOLDCRANK_SERVING_OWN_REPLY_HPP

#include "domain/boot_clock.hpp"
#include "domain/failure.hpp"
#include "serving/wire_dialect.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// One answer of our own.
struct own_reply
{
    unsigned              status = 503;
    call_fate             fate = call_fate::not_run;
    std::string_view      cause;       // one word for logs, metrics and the body
    std::optional<millis> retry_after; // when to come back; not_run only

    bool operator==(own_reply const&) const = default;
};

/// The whole answer in bytes.
std::string format_reply(own_reply const& reply, bool close);

/// Head and body of a server's answer, with a length of our own.
std::string format_answer(answer_head const& head, std::string const& body, bool close,
                          bool head_only);

/// The head of a stream whose events follow in chunks, or up to the end of the connection
/// for a caller that doesn't know chunks.
std::string format_stream_head(answer_head const& head, bool close, bool chunked);

std::string format_chunk(std::string_view bytes);

/// The chunk that ends a whole stream.
constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace marigoldcrank

#endif
