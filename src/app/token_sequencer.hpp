// Puts the events of an engine stream in order and drops events of other requests.
//
// Index: 1 engine_count, 2 token_sequencer
#ifndef MARIGOLDCRANK_APP_TOKEN_SEQUENCER_HPP
#define MARIGOLDCRANK_APP_TOKEN_SEQUENCER_HPP

#include "ports/backend_port.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// Token counts that the engine reports in its closing event.
struct engine_count
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; // of the whole response, including earlier attempts
    bool          cancelled = false; // the engine stopped because of a cancel request

    bool operator==(engine_count const&) const = default;
};

/// Result of one event.
struct sequenced_event
{
    std::vector<std::string> tokens; // that are now in order, each returned once
    bool dropped = false; // of another request or attempt, a duplicate, or too far ahead

    bool operator==(sequenced_event const&) const = default;
};

/// Covers all attempts of one request. A faulty engine or mixed-up connection sends
/// events with another request id, an earlier attempt or a wrong sequence. Whatever the
/// engine sends, the caller receives each token of its own response once and in order.
class token_sequencer
{
public:
    explicit token_sequencer(std::string request_id) : request_id_(std::move(request_id))
    {
    }

    /// Starts an attempt. Tokens that arrived ahead of order in the previous attempt are
    /// discarded.
    void begin_attempt(std::uint64_t attempt)
    {
        attempt_ = attempt;
        out_of_order_.clear();
        end_.reset();
    }

    sequenced_event take(stream_event const& event)
    {
        if (event.request_id != request_id_ || event.attempt != attempt_)
        {
            return {{}, true};
        }
        if (event.last)
        {
            bool const first = !end_;
            end_ = end_.value_or(
                engine_count{event.prompt_tokens, event.output_tokens, event.cancelled});
            return {{}, !first};
        }
        // The next token is always accepted: it empties the buffer.
        bool const no_room = event.sequence != next_ && out_of_order_.size() >= max_ahead;
        bool const unusable = event.sequence < next_ || no_room;
        if (unusable || !out_of_order_.emplace(event.sequence, event.text).second)
        {
            return {{}, true};
        }
        return {release(), false};
    }

    /// The first sequence number that the caller has not received.
    std::uint64_t next() const noexcept
    {
        return next_;
    }

    /// True if the end marker and every token before it have arrived.
    bool is_complete() const noexcept
    {
        return end_ && !end_->cancelled && end_->output_tokens == next_;
    }

    std::optional<engine_count> const& end() const noexcept
    {
        return end_;
    }

private:
    static constexpr std::size_t max_ahead = 256; // tokens buffered out of order

    std::vector<std::string> release()
    {
        std::vector<std::string> tokens;
        while (!out_of_order_.empty() && out_of_order_.begin()->first == next_)
        {
            tokens.push_back(std::move(out_of_order_.begin()->second));
            out_of_order_.erase(out_of_order_.begin());
            ++next_;
        }
        return tokens;
    }

    std::string                          request_id_;
    std::uint64_t                        attempt_ = 0;
    std::uint64_t                        next_ = 0;
    std::map<std::uint64_t, std::string> out_of_order_;
    std::optional<engine_count>          end_;
};

} // namespace marigoldcrank

#endif
