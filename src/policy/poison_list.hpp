// Tracks request contents that may crash the servers that run them.
//
// Index: 1 poison_options, 2 poison_verdict, 3 poison_list
#ifndef MARIGOLDCRANK_POLICY_POISON_LIST_HPP
#define MARIGOLDCRANK_POLICY_POISON_LIST_HPP

#include "domain/boot_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct poison_options
{
    std::size_t capacity = 4096; // 4096     contents; the oldest is dropped beyond it
    millis      keep{3'600'000}; // 3600000  ms from the last crash until it is dropped
    millis      together{2'000}; // 2000     ms; servers lost within it are lost together

    bool operator==(poison_options const&) const = default;
};

/// How a request with this content may run.
enum class poison_verdict
{
    allowed,
    suspect, // one crash: may run only alone on its server
    blocked  // two crashes: must not run
};

/// The crashes during which one content was in flight.
struct poison_entry
{
    std::set<std::string>  crashes; // their ids, so that peers' updates merge
    boot_clock::time_point last{};
    bool                   excused = false; // its server was lost together with others

    bool operator==(poison_entry const&) const = default;
};

/// Value type, keyed by content hash. The crashes of one content form a grow-only set, so
/// that peers' messages may be duplicated, delayed or reordered.
class poison_list
{
public:
    explicit poison_list(poison_options options) : options_(options) {}

    /// Records a crash. True if it was not known.
    bool note(std::string const& content, std::string const& crash,
              boot_clock::time_point now)
    {
        expire(now);
        auto& entry = entries_[content];
        if (entry.crashes.size() >= blocking_crashes ||
            !entry.crashes.insert(crash).second)
        {
            return false;
        }
        entry.last = now;
        entry.excused = false;
        if (entries_.size() > options_.capacity)
        {
            evict_oldest();
        }
        return true;
    }

    /// Removes a crash that was none.
    void withdraw(std::string const& content, std::string const& crash)
    {
        auto const found = entries_.find(content);
        if (found != entries_.end() && found->second.crashes.erase(crash) > 0 &&
            found->second.crashes.empty())
        {
            entries_.erase(found);
        }
    }

    /// Lets a suspect whose server was lost together with others run like any request.
    /// The crash still counts, so that poison which ran at such a moment is blocked after
    /// two.
    void excuse(std::string const& content)
    {
        auto const found = entries_.find(content);
        if (found != entries_.end() && found->second.crashes.size() < blocking_crashes)
        {
            found->second.excused = true;
        }
    }

    /// Clears a suspect that completed alone on its server or is excused. Content with
    /// two crashes stays blocked.
    void record_completion(std::string const& content, bool alone)
    {
        auto const found = entries_.find(content);
        if (found != entries_.end() && (alone || found->second.excused))
        {
            clear(content);
        }
    }

    /// Clears a suspect. Content with two crashes stays blocked.
    void clear(std::string const& content)
    {
        auto const found = entries_.find(content);
        if (found != entries_.end() && found->second.crashes.size() < blocking_crashes)
        {
            entries_.erase(found);
        }
    }

    poison_verdict evaluate(std::string const& content, boot_clock::time_point now) const
    {
        auto const found = entries_.find(content);
        if (found == entries_.end() || now - found->second.last >= options_.keep)
        {
            return poison_verdict::allowed;
        }
        if (found->second.crashes.size() >= blocking_crashes)
        {
            return poison_verdict::blocked;
        }
        return found->second.excused ? poison_verdict::allowed : poison_verdict::suspect;
    }

    std::map<std::string, poison_entry> const& entries() const noexcept
    {
        return entries_;
    }

    bool operator==(poison_list const&) const = default;

private:
    static constexpr std::size_t blocking_crashes = 2; // after which content is blocked

    void expire(boot_clock::time_point now)
    {
        std::erase_if(entries_, [&](auto const& each)
                      { return now - each.second.last >= options_.keep; });
    }

    void evict_oldest()
    {
        auto oldest = entries_.begin();
        for (auto each = entries_.begin(); each != entries_.end(); ++each)
        {
            oldest = each->second.last < oldest->second.last ? each : oldest;
        }
        entries_.erase(oldest);
    }

    poison_options                      options_;
    std::map<std::string, poison_entry> entries_;
};

} // namespace marigoldcrank

#endif
