// Keys of streams, and conclusions from what several VMs know.
#include "policy/stream_origins.hpp"

#include <xxhash.h>

namespace marigoldcrank
{

std::uint64_t stream_key(std::string const& workspace, std::string const& first_try)
{
    auto const text = std::to_string(workspace.size()) + ":" + workspace + first_try;
    return XXH3_64bits(text.data(), text.size());
}

origin_knowledge add(origin_knowledge const& left, origin_knowledge const& right)
{
    bool const differ = !left.only_version.empty() && !right.only_version.empty() &&
                        left.only_version != right.only_version;
    return {.recorded = left.recorded ? left.recorded : right.recorded,
            .only_version =
                left.only_version.empty() ? right.only_version : left.only_version,
            .mixed = left.mixed || right.mixed || differ};
}

std::optional<stream_origin> conclude_origin(origin_knowledge const& known,
                                             std::string const&      service)
{
    if (known.recorded)
    {
        return known.recorded;
    }
    bool const told = !known.mixed && !known.only_version.empty();
    return told ? std::optional{stream_origin{service, known.only_version}}
                : std::nullopt;
}

} // namespace marigoldcrank
