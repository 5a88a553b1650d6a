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
#include <vector>

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
    // 1000  tokens; shorter prompts are prefilled before their notices arrive
    std::int64_t min_tokens = 1000;
    // 4096  notices; further ones aren't recorded
    std::size_t most = 4096;

    bool operator==(recent_sends_options const&) const = default;
};

/// Notices by engine, each until its prompt is prefilled or digests include it. No I/O;
/// the caller passes the time.
class recent_sends
{
public:
    explicit recent_sends(recent_sends_options options = {}) : options_(options) {}

    /// Whether a prompt is long enough to be published.
    bool worth_publishing(std::int64_t tokens) const
    {
        return tokens >= options_.min_tokens;
    }

    /// Records a notice; digests include its prompt after `digest_age`. False if it is
    /// known already, or not recorded.
    bool receive(send_notice const& notice, millis digest_age, boot_clock::time_point now)
    {
        expire(now);
        auto const life = std::clamp(notice.life, millis{0}, digest_age);
        if (notice.tokens <= 0 || life.count() == 0 || sends_.size() >= options_.most)
        {
            return false;
        }
        auto const until = now + life;
        if (!sends_.emplace(notice.number, send{notice.server, notice.tokens}).second)
        {
            return false;
        }
        tokens_[notice.server] += notice.tokens;
        ends_.emplace(until, notice.number);
        return true;
    }

    /// Prompt tokens that others have lately sent to `server`, without those in digests.
    std::int64_t tokens_at(std::string const& server, boot_clock::time_point now)
    {
        expire(now);
        auto const found = tokens_.find(server);
        return found == tokens_.end() ? 0 : found->second;
    }

    std::size_t size() const noexcept
    {
        return sends_.size();
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
            auto const ended = sends_.find(ends_.begin()->second);
            auto const sum = tokens_.find(ended->second.server);
            sum->second -= ended->second.tokens;
            if (sum->second <= 0)
            {
                tokens_.erase(sum);
            }
            sends_.erase(ended);
            ends_.erase(ends_.begin());
        }
    }

    recent_sends_options                                 options_;
    std::map<std::uint64_t, send>                        sends_; // by number
    std::multimap<boot_clock::time_point, std::uint64_t> ends_;
    std::map<std::string, std::int64_t>                  tokens_; // by server
};

} // namespace marigoldcrank

#endif
