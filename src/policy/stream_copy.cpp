// Which streams are copied, where to, and how interrupted ones go on.
#include "policy/stream_copy.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace marigoldcrank
{

namespace
{

std::int64_t copies_at(copy_counts const& copies, std::string const& server)
{
    auto const found = copies.find(server);
    return found == copies.end() ? 0 : found->second;
}

bool has_room(backend_server const& server, std::int64_t load,
              copy_options const& options)
{
    return server.slots == 0 ||
           static_cast<double>(load) <
               static_cast<double>(server.slots) * options.max_slot_use;
}

} // namespace

millis caller_patience_in_stream(route const& matched)
{
    constexpr millis least{2000};
    constexpr int    objectives = 4;
    constexpr int    gaps = 8;
    return std::max({least, objectives * matched.objective, gaps * matched.event_gap});
}

bool wants_copy(stream_outlook const& stream, copy_options const& options)
{
    if (stream.output_tokens < options.min_output_tokens)
    {
        return false;
    }
    bool const reread_too_long =
        stream.patience.count() > 0 &&
        stream.reread_ms > static_cast<double>(stream.patience.count());
    return !stream.may_be_resumed || reread_too_long;
}

backend_server const* choose_copy_target(std::vector<candidate> const& candidates,
                                         backend_server const&         server,
                                         copy_counts const&            copies,
                                         std::uint64_t                 tie_break,
                                         copy_options const&           options)
{
    using order = std::tuple<bool, bool, std::int64_t, std::uint64_t>; // least is best
    backend_server const* best = nullptr;
    order                 best_order;
    for (auto const& each : candidates)
    {
        auto const& other = *each.server;
        auto const  load = each.load.running + copies_at(copies, other.id);
        bool const  eligible = other.id != server.id && !each.avoided && !other.leaving &&
                              !other.starting && other.role != engine_role::prefill &&
                              other.group == server.group && !other.version.empty() &&
                              other.version == server.version;
        if (!eligible || !has_room(other, load, options))
        {
            continue;
        }
        order const place{
            other.data_centre == server.data_centre, other.cheap, load,
            XXH3_64bits_withSeed(other.id.data(), other.id.size(), tie_break)};
        if (best == nullptr || place < best_order)
        {
            best = &other;
            best_order = place;
        }
    }
    return best;
}

stream_continuation_step decide_continuation(interrupted_stream const& stream)
{
    if (!stream.time_left)
    {
        return stream_continuation_step::end;
    }
    if (stream.copied && stream.target_usable && stream.has_event_id)
    {
        return stream_continuation_step::from_copy;
    }
    return stream.may_be_resumed ? stream_continuation_step::read_again
                                 : stream_continuation_step::end;
}

} // namespace marigoldcrank
