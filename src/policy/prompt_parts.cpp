// Hashes of prompt parts.
#include "policy/prompt_parts.hpp"

#include <xxhash.h>

#include <algorithm>

namespace marigoldcrank
{

std::vector<part_key> shared_part_keys(caller_call const& call)
{
    std::vector<part_key> keys;
    for (std::size_t index = 0; index + 1 < call.prompt.size(); ++index)
    {
        auto const name = call.model + '\n' + call.prompt[index].id;
        keys.push_back(XXH3_64bits(name.data(), name.size()));
    }
    std::sort(keys.begin(), keys.end());
    keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    return keys;
}

} // namespace marigoldcrank
