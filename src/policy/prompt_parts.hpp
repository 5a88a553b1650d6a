// Keys of the prompt parts that different calls may share.
//
// Index: 1 part_key, 2 shared_part_keys
#ifndef MARIGOLDCRANK_POLICY_PROMPT_PARTS_HPP
#define MARIGOLDCRANK_POLICY_PROMPT_PARTS_HPP

#include "domain/caller_call.hpp"

#include <cstdint>
#include <vector>

namespace marigoldcrank
{

/// Hash of a model and the id of a part.
using part_key = std::uint64_t;

/// Keys of all parts of the call's prompt but the last, which belongs to the call alone,
/// in ascending order and each once.
std::vector<part_key> shared_part_keys(caller_call const& call);

} // namespace marigoldcrank

#endif
