// Search for the parts that explain the most crashes.
#include "policy/part_suspects.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <tuple>

namespace marigoldcrank
{

namespace
{

using witness_list = std::vector<part_witness const*>;

/// Crashes that lie apart, of witnesses in the order of their ends. Each content counts
/// once.
int count_crashes(witness_list const& witnesses, millis apart)
{
    std::set<std::string>  contents;
    int                    crashes = 0;
    boot_clock::time_point last{};
    for (auto const* witness : witnesses)
    {
        bool const separate = crashes == 0 || witness->ended - last >= apart;
        if (separate && contents.insert(witness->content).second)
        {
            ++crashes;
            last = witness->ended;
        }
    }
    return crashes;
}

/// Whether enough calls of the service were served that have not this part, sent after
/// the first of its crashes.
bool others_served(part_key part, witness_list const& witnesses,
                   std::vector<served_call> const& served, int enough)
{
    if (std::any_of(witnesses.begin(), witnesses.end(),
                    [](auto const* witness) { return witness->others_served; }))
    {
        return true;
    }
    auto const& first = *witnesses.front();
    auto const  count = std::count_if(
         served.begin(), served.end(),
         [&](served_call const& call)
         {
            return call.service == first.service && call.sent > first.ended &&
                   !std::binary_search(call.parts.begin(), call.parts.end(), part);
        });
    return count >= enough;
}

std::vector<part_key> common_parts(witness_list const& witnesses)
{
    auto common = witnesses.front()->parts;
    for (auto const* witness : witnesses)
    {
        std::vector<part_key> both;
        std::set_intersection(common.begin(), common.end(), witness->parts.begin(),
                              witness->parts.end(), std::back_inserter(both));
        common = std::move(both);
    }
    return common;
}

/// The part that explains the most crashes; nothing if none explains enough.
std::optional<part_suspect> strongest_suspect(std::vector<part_witness> const& witnesses,
                                              std::vector<served_call> const&  served,
                                              sound_parts const&               sound,
                                              part_suspect_options const&      options)
{
    std::map<part_key, witness_list> by_part;
    for (auto const& witness : witnesses)
    {
        for (auto const part : witness.parts)
        {
            by_part[part].push_back(&witness);
        }
    }
    std::optional<part_suspect> strongest;
    part_key                    chosen = 0;
    for (auto const& [part, of_part] : by_part)
    {
        bool const is_sound = sound.latest(part).has_value();
        auto const needed = is_sound ? options.sound_crashes : options.crashes;
        if (of_part.size() < static_cast<std::size_t>(needed))
        {
            continue;
        }
        auto const crashes = count_crashes(of_part, options.apart);
        bool const stronger =
            !strongest || std::tuple{!is_sound, crashes} >
                              std::tuple{!strongest->sound, strongest->crashes};
        if (crashes < needed || !stronger)
        {
            continue;
        }
        bool const apart = others_served(part, of_part, served, options.others_served);
        if (apart || !is_sound)
        {
            strongest = {{}, crashes, of_part.back()->ended, is_sound, apart};
            chosen = part;
        }
    }
    if (strongest)
    {
        strongest->parts = common_parts(by_part[chosen]);
        std::erase_if(strongest->parts, [&](part_key part)
                      { return part != chosen && sound.latest(part); });
    }
    return strongest;
}

} // namespace

std::vector<part_suspect> find_part_suspects(std::vector<part_witness>       witnesses,
                                             std::vector<served_call> const& served,
                                             sound_parts const&              sound,
                                             part_suspect_options const&     options)
{
    for (auto& witness : witnesses)
    {
        std::erase_if(witness.parts,
                      [&](part_key part)
                      {
                          auto const latest = sound.latest(part);
                          return latest && *latest > witness.ended;
                      });
    }
    std::sort(witnesses.begin(), witnesses.end(),
              [](auto const& left, auto const& right)
              {
                  return std::tie(left.ended, left.server, left.content) <
                         std::tie(right.ended, right.server, right.content);
              });
    std::vector<part_suspect> suspects;
    while (auto const suspect = strongest_suspect(witnesses, served, sound, options))
    {
        suspects.push_back(*suspect);
        std::vector<std::pair<std::string, boot_clock::time_point>> explained;
        for (auto const& witness : witnesses)
        {
            if (std::includes(witness.parts.begin(), witness.parts.end(),
                              suspect->parts.begin(), suspect->parts.end()))
            {
                explained.emplace_back(witness.server, witness.ended);
            }
        }
        std::erase_if(witnesses,
                      [&](part_witness const& witness)
                      {
                          return std::any_of(explained.begin(), explained.end(),
                                             [&](auto const& crash)
                                             {
                                                 return crash.first == witness.server &&
                                                        std::chrono::abs(crash.second -
                                                                         witness.ended) <
                                                            options.apart;
                                             });
                      });
    }
    return suspects;
}

} // namespace marigoldcrank
