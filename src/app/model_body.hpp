// JSON bodies of the language model API: parses requests, formats responses.
//
// Index: 1 model_body (request), 2 response_writer (chunks, complete bodies)
#ifndef MARIGOLDCRANK_APP_MODEL_BODY_HPP
#define MARIGOLDCRANK_APP_MODEL_BODY_HPP

#include "domain/failure.hpp"

#include <cstdint>
#include <string>

namespace marigoldcrank
{

/// The fields of a request body that routing needs.
struct model_body
{
    std::string  model;
    bool         stream = false;
    std::string  content; // hash of model and prompt, the key of the poison list
    std::int64_t prompt_tokens = 0; // estimate: four bytes per token

    bool operator==(model_body const&) const = default;
};

/// Parses a request body; `path` selects the chat or the completion form. Fails with
/// message_failure.
leaf::result<model_body> parse_model_body(std::string const& path,
                                          std::string const& body);

/// Formats the response of one request in the chat or the completion form.
class response_writer
{
public:
    response_writer(std::string const& request_id, std::string const& model, bool chat);

    /// The server-sent event of one token.
    std::string chunk(std::string const& token) const;

    /// The last server-sent events of a complete response: token usage, then [DONE].
    std::string closing_events(std::uint64_t prompt_tokens,
                               std::uint64_t output_tokens) const;

    /// The body of a response that is not streamed.
    std::string complete_body(std::string const& text, std::uint64_t prompt_tokens,
                              std::uint64_t output_tokens) const;

private:
    std::string request_id_;
    std::string model_;
    bool        chat_;
    std::string chunk_prefix_;
    std::string chunk_suffix_;
};

} // namespace marigoldcrank

#endif
