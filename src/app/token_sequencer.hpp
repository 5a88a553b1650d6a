// Puts the events of an engine's stream in order and keeps foreign ones out.
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

/// What the engine says it did for the request, from its closing event.
struct engine_count
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; // of the whole answer, earlier attempts included
    bool          cancelled = false; // the engine stopped because it was told to

    bool operator==(engine_count const&) const = default;
};

/// What became of one event.
struct sequenced_event
{
    std::vector<std::string> tokens;          // now in order, each for the first time
    bool                     dropped = false; // of another request or attempt, or seen

    bool operator==(sequenced_event const&) const = default;
};

/// One object for all attempts of one request. A confused engine or a crossed connection
/// shows as events with another id, an earlier attempt or a wrong sequence: a caller must
/// see each token of its own answer once and in order, whatever the engine sends.
class token_sequencer
{
public:
    explicit token_sequencer(std::string request_id) : request_id_(std::move(request_id))
    {
    }

    /// Tokens that came out of order belong to the attempt that sent them.
    void begin_attempt(std::uint64_t attempt)
    {
        attempt_ = attempt;
        ahead_.clear();
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
        bool const seen = event.sequence < next_ || ahead_.size() >= most_ahead;
        if (seen || !ahead_.emplace(event.sequence, event.text).second)
        {
            return {{}, true};
        }
        return {release(), false};
    }

    /// The first sequence that the caller has not seen.
    std::uint64_t next() const noexcept
    {
        return next_;
    }

    /// True if the end marker came and every token before it.
    bool whole() const noexcept
    {
        return end_ && !end_->cancelled && end_->output_tokens == next_;
    }

    std::optional<engine_count> const& end() const noexcept
    {
        return end_;
    }

private:
    static constexpr std::size_t most_ahead = 256; // tokens held while one is missing

    std::vector<std::string> release()
    {
        std::vector<std::string> tokens;
        while (!ahead_.empty() && ahead_.begin()->first == next_)
        {
            tokens.push_back(std::move(ahead_.begin()->second));
            ahead_.erase(ahead_.begin());
            ++next_;
        }
        return tokens;
    }

    std::string                          request_id_;
    std::uint64_t                        attempt_ = 0;
    std::uint64_t                        next_ = 0;
    std::map<std::uint64_t, std::string> ahead_;
    std::optional<engine_count>          end_;
};

} // namespace marigoldcrank

#endif
