// A caller's call as the HTTP adapter parsed it: the fields that the serving path needs.
//
// Index: 1 prompt_part, 2 caller_call
#ifndef MARIGOLDCRANK_DOMAIN_CALLER_CALL_HPP
#define MARIGOLDCRANK_DOMAIN_CALLER_CALL_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// A part of a prompt that other calls may share. Engines keep its KV cache under its id.
struct prompt_part
{
    std::string  id;
    std::int64_t tokens = 0; // length

    auto operator<=>(prompt_part const&) const = default;
};

/// A parsed call. The serving path decides by these fields; the bytes of the call are
/// forwarded unchanged.
struct caller_call
{
    std::string              id;     // request id; unique for each try of the caller
    std::string              host;   // lower case, without port
    std::string              target; // path and query as received
    std::string              key;    // API key; empty: none was sent
    std::optional<millis>    caller_timeout; // caller's max. wait, ms; none: not stated
    std::string              model;          // empty: not stated
    std::vector<prompt_part> prompt;         // in order; only this call has the last part
    std::int64_t             output_tokens = 0; // max. tokens to generate
    std::optional<std::int64_t> stated_tokens; // prompt and max. output; none: not stated
    std::string resume_after; // last event id that the caller has; empty: none
    std::string resumes;      // id of the try that brought its first event; empty: none

    bool operator==(caller_call const&) const = default;

    /// The path of `target`, without the query.
    std::string_view path() const
    {
        return std::string_view{target}.substr(0, target.find('?'));
    }

    /// Id of the part before the last, which ends the longest prefix that other calls may
    /// share; empty if the prompt has fewer than two parts.
    std::string_view shared_prefix_id() const
    {
        return prompt.size() < 2 ? std::string_view{} : prompt[prompt.size() - 2].id;
    }

    /// Length of the whole prompt in tokens.
    std::int64_t prompt_tokens() const
    {
        std::int64_t sum = 0;
        for (auto const& part : prompt)
        {
            sum += part.tokens;
        }
        return sum;
    }

    /// Length of the last part in tokens: no other call can have left it in a cache.
    std::int64_t unshared_tokens() const
    {
        return prompt.empty() ? 0 : prompt.back().tokens;
    }
};

} // namespace marigoldcrank

#endif
