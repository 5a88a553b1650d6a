// One call of a caller, as an adapter has read it from the wire.
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

/// A part of a prompt that other calls may share; engines keep its KV cache under the id.
struct prompt_part
{
    std::string  id;
    std::int64_t tokens = 0;

    auto operator<=>(prompt_part const&) const = default;
};

/// What the serving path needs to know of a call; the bytes themselves go on unchanged.
struct caller_call
{
    std::string                 id;       // one an attempt of the caller
    std::string                 host;     // lower case, without port
    std::string                 target;   // path and query as sent
    std::string                 key;      // empty: none was sent
    std::optional<millis>       patience; // how long the caller will wait; none stated
    std::vector<prompt_part>    prompt;   // in order; the last is the caller's own
    std::int64_t                output_tokens = 0; // most that the caller wants
    std::optional<std::int64_t> stated_tokens;     // prompt and most output; none stated
    std::string                 resume_after; // id of the last event it has; empty: none

    bool operator==(caller_call const&) const = default;

    /// The path without its query.
    std::string_view path() const
    {
        return std::string_view{target}.substr(0, target.find('?'));
    }

    /// The part that other calls are likeliest to share: the last but the caller's own.
    std::string_view shared_part() const
    {
        return prompt.size() < 2 ? std::string_view{} : prompt[prompt.size() - 2].id;
    }

    /// Tokens of the whole prompt.
    std::int64_t prompt_tokens() const
    {
        std::int64_t sum = 0;
        for (auto const& part : prompt)
        {
            sum += part.tokens;
        }
        return sum;
    }

    /// Tokens that no other call can have left in a cache.
    std::int64_t own_tokens() const
    {
        return prompt.empty() ? 0 : prompt.back().tokens;
    }
};

} // namespace marigoldcrank

#endif
