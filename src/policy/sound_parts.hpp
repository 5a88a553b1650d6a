// The prompt parts on which servers have lately written whole responses.
//
// Index: 1 sound_part, 2 sound_parts
#ifndef MARIGOLDCRANK_POLICY_SOUND_PARTS_HPP
#define MARIGOLDCRANK_POLICY_SOUND_PARTS_HPP

#include "domain/boot_clock.hpp"
#include "policy/prompt_parts.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace marigoldcrank
{

/// A part on which a whole response was written, as VMs publish it to each other.
struct sound_part
{
    part_key part = 0;
    millis   age{0}; // since the newest call with such a response was sent

    auto operator<=>(sound_part const&) const = default;
};

/// Remembers, by part, when the newest call was sent that got a whole response. The parts
/// that were used last displace the others. No I/O; the caller passes the time.
class sound_parts
{
public:
    explicit sound_parts(std::size_t capacity) : capacity_(capacity) {}

    /// Records a whole response to a call that was sent at `sent`.
    void record(part_key part, boot_clock::time_point sent)
    {
        auto const [at, added] = entries_.try_emplace(part);
        if (!added)
        {
            order_.erase(at->second.place);
        }
        order_.push_front(part);
        at->second = {std::max(at->second.sent, sent), order_.begin()};
        if (entries_.size() > capacity_)
        {
            entries_.erase(order_.back());
            order_.pop_back();
        }
    }

    /// When the newest call with a whole response was sent; nothing if none is known.
    std::optional<boot_clock::time_point> latest(part_key part) const
    {
        auto const found = entries_.find(part);
        return found == entries_.end() ? std::nullopt : std::optional{found->second.sent};
    }

private:
    struct entry
    {
        boot_clock::time_point        sent{};
        std::list<part_key>::iterator place{};
    };

    std::size_t                         capacity_;
    std::list<part_key>                 order_; // newest use first
    std::unordered_map<part_key, entry> entries_;
};

} // namespace marigoldcrank

#endif
