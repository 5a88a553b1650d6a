// Prompts that other VMs have just sent to engines and that load digests don't show yet.
//
// Index: 1 send_notice, 2 recent_sends_options, 3 recent_sends
//
// A load digest is up to half a second old, and most prompts are prefilled in less time.
// By digests alone, an engine that has just got a long prompt looks idle to the other
// VMs, which send it theirs. VMs therefore publish each long prompt as they send it.
#ifndef MARIGOLDCRANK_POLICY_RECENT_SENDS_HPP
#define MARIGOLDCRANK_POLICY_RECENT_SENDS_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>

namespace marigoldcrank
{

/// One prompt that is sent to an engine.
struct send_notice
{
    std::uint64_t number = 0; // unique in the fleet, so that copies count once
    std::string   server;
    std::int64_t  tokens = 0; // to prefill there
    millis        life{0};    // predicted time until they are prefilled

    bool operator==(send_notice const&) const = default;
};

struct recent_sends_options
{
    // 1000  tokens, and 30 ms; shorter prompts are prefilled before their notices arrive
    std::int64_t min_tokens = 1000;
    millis       min_life{30};
    // 4096  notices; further ones aren't recorded
    std::size_t most = 4096;
    // 1000  ms for which the number of a notice is remembered, and at least the age of a
    //       digest; longer than copies are on their way
    millis number_life{1000};
    // 16384 numbers remembered; further notices aren't recorded
    std::size_t most_numbers = 16384;

    bool operator==(recent_sends_options const&) const = default;
};

/// Notices by engine, each until its prompt is prefilled or digests include it. Copies of
/// a notice, which come over several relays, count once. No I/O; the caller passes the
/// time.
class recent_sends
{
public:
    explicit recent_sends(recent_sends_options options = {}) : options_(options) {}

    /// Whether a prompt is long enough to be published; `life` is the predicted time
    /// until it is prefilled.
    bool worth_publishing(std::int64_t tokens, millis life) const
    {
        return tokens >= options_.min_tokens && life >= options_.min_life;
    }

    /// Records a notice; digests include its prompt after `digest_age`. False if its
    /// number is remembered, or if it isn't recorded.
    bool receive(send_notice const& notice, millis digest_age, boot_clock::time_point now)
    {
        expire(now);
        auto const life = std::clamp(notice.life, millis{0}, digest_age);
        bool const full =
            ends_.size() >= options_.most || numbers_.size() >= options_.most_numbers;
        if (notice.tokens <= 0 || life.count() == 0 || full ||
            !numbers_.insert(notice.number).second)
        {
            return false;
        }
        forget_at_.emplace(now + std::max(digest_age, options_.number_life),
                           notice.number);
        tokens_[notice.server] += notice.tokens;
        ends_.emplace(now + life, send{notice.server, notice.tokens});
        return true;
    }

    /// Prompt tokens that others have lately sent to `server`, without those in digests.
    std::int64_t tokens_at(std::string const& server, boot_clock::time_point now)
    {
        expire(now);
        auto const found = tokens_.find(server);
        return found == tokens_.end() ? 0 : found->second;
    }

    /// Number of notices that count.
    std::size_t size() const noexcept
    {
        return ends_.size();
    }

private:
    struct send
    {
        std::string  server;
        std::int64_t tokens = 0;
    };

    void expire(boot_clock::time_point now)
    {
        while (!ends_.empty() && ends_.begin()->first <= now)
        {
            auto const& ended = ends_.begin()->second;
            auto const  sum = tokens_.find(ended.server);
            sum->second -= ended.tokens;
            if (sum->second <= 0)
            {
                tokens_.erase(sum);
            }
            ends_.erase(ends_.begin());
        }
        while (!forget_at_.empty() && forget_at_.begin()->first <= now)
        {
            numbers_.erase(forget_at_.begin()->second);
            forget_at_.erase(forget_at_.begin());
        }
    }

    recent_sends_options                                 options_;
    std::multimap<boot_clock::time_point, send>          ends_;      // those that count
    std::unordered_set<std::uint64_t>                    numbers_;   // those remembered
    std::multimap<boot_clock::time_point, std::uint64_t> forget_at_; // numbers, by time
    std::map<std::string, std::int64_t>                  tokens_;    // by server
};

} // namespace marigoldcrank

#endif
