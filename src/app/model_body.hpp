// Bodies of the language model API: reading requests, writing answers.
//
// Index: 1 model_body (request), 2 answer_writer (chunks, whole answers)
#ifndef MARIGOLDCRANK_APP_MODEL_BODY_HPP
#define MARIGOLDCRANK_APP_MODEL_BODY_HPP

#include "domain/failure.hpp"

#include <cstdint>
#include <string>

namespace marigoldcrank
{

/// What routing needs of a request body.
struct model_body
{
    std::string  model;
    bool         stream = false;
    std::string  content; // hash of model and prompt, by which poison is recognised
    std::int64_t prompt_tokens = 0; // estimate: four bytes a token

    bool operator==(model_body const&) const = default;
};

/// Reads a request body. Fails with message_failure.
leaf::result<model_body> parse_model_body(std::string const& path,
                                          std::string const& body);

/// Writes the answer of one request in the form of its path.
class answer_writer
{
public:
    answer_writer(std::string const& request_id, std::string const& model, bool chat);

    /// One server-sent event for one token.
    std::string chunk(std::string const& token) const;

    /// The closing events of a whole answer, [DONE] last.
    std::string closing(std::uint64_t prompt_tokens, std::uint64_t output_tokens) const;

    /// The body of an answer that is not streamed.
    std::string whole(std::string const& text, std::uint64_t prompt_tokens,
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
