// Record in the store of what blocks a content or prompt parts, and its JSON text.
//
// Index: 1 recorded_crash, crash_entry, 2 formats
#ifndef MARIGOLDCRANK_LEDGER_CRASH_ENTRY_HPP
#define MARIGOLDCRANK_LEDGER_CRASH_ENTRY_HPP

#include "domain/boot_clock.hpp"
#include "policy/prompt_parts.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldcrank
{

/// A call that broke off at its server.
struct recorded_crash
{
    std::string           content; // hash of path, caller and body
    std::string           server;
    std::string           call_id;
    std::vector<part_key> parts; // that are blocked; none if the content is
    std::int64_t          ended_unix_ms = 0;
    millis                ran{0}; // until then

    bool operator==(recorded_crash const&) const = default;
};

struct crash_entry
{
    std::string                 service;               // of the servers
    bool                        others_served = false; // as in crash_update
    std::vector<recorded_crash> crashes;               // one at least

    bool operator==(crash_entry const&) const = default;
};

std::string format_crash_entry(crash_entry const& value);

/// Nothing if the text is not a valid entry.
std::optional<crash_entry> parse_crash_entry(std::string_view text);

} // namespace marigoldcrank

#endif
