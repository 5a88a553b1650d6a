// Finds the prompt parts that crash servers, among the parts of all calls that broke off.
//
// Index: 1 part_witness, 2 served_call, 3 part_suspect, 4 part_suspect_options,
//        5 others_served_at, 6 find_part_suspects
#ifndef MARIGOLDCRANK_POLICY_PART_SUSPECTS_HPP
#define MARIGOLDCRANK_POLICY_PART_SUSPECTS_HPP

#include "policy/sound_parts.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// A call that broke off before its response had begun, or as it began.
struct part_witness
{
    std::string            content; // hash of path, caller and body
    std::string            server;
    std::string            service; // of the server
    boot_clock::time_point ended{};
    std::vector<part_key>  parts; // shared ones of its prompt, in ascending order
    // Another VM has found that calls without its suspected parts were served meanwhile.
    bool others_served = false;

    bool operator==(part_witness const&) const = default;
};

/// A call with a prompt that got a whole response.
struct served_call
{
    std::string            service;
    boot_clock::time_point sent{};
    std::vector<part_key>  parts; // shared ones of its prompt, in ascending order

    bool operator==(served_call const&) const = default;
};

/// Parts that crash servers. If there are several, it isn't known which of them does,
/// and only calls that have all are suspected.
struct part_suspect
{
    std::vector<part_key>  parts; // in ascending order
    int                    crashes = 0;
    boot_clock::time_point last{};        // crash
    bool                   sound = false; // whole responses were written on it earlier
    // Calls without it were served meanwhile: it isn't the service that fails.
    bool others_served = false;

    bool operator==(part_suspect const&) const = default;
};

struct part_suspect_options
{
    // 3     crashes with a part on which no response is known, until it is suspected
    int crashes = 3;
    // 6     crashes with any other part, if calls without it are served meanwhile
    int sound_crashes = 6;
    // 10    such calls, at all VMs together
    int others_served = 10;
    // 250   ms; servers that are lost closer together count as one crash: they may have
    //       one cause, such as a reclaimed data centre
    millis apart{250};

    bool operator==(part_suspect_options const&) const = default;
};

/// How many of `all` calls a VM sees for its part if callers are spread over `vms`. It
/// tells the others, so that the first VM to see as many decides for all.
constexpr int others_served_at(std::int64_t vms, int all) noexcept
{
    constexpr std::int64_t least = 2;
    auto const             share = (all + vms - 1) / std::max<std::int64_t>(vms, 1);
    return static_cast<int>(std::min<std::int64_t>(std::max(share, least), all));
}

/// A server that crashes breaks off all its calls, so most witnesses are innocent. A part
/// is no cause of a crash if a call with it that was sent later got a whole response.
/// Of the others, the part that most crashes have in common is suspected, with all parts
/// that stood beside it each time. Crashes that it explains say nothing about other
/// parts. Retries of one call count once. A part that was sound, perhaps one that all
/// calls have, isn't suspected while nothing else is served either. Pure; `witnesses` may
/// be in any order.
std::vector<part_suspect> find_part_suspects(std::vector<part_witness>       witnesses,
                                             std::vector<served_call> const& served,
                                             sound_parts const&              sound,
                                             part_suspect_options const&     options);

} // namespace marigoldcrank

#endif
