// How a topic's records are read by the VMs that pass them on.
//
// Index: 1 topic_format, 2 mirror_answer
#ifndef MARIGOLDCRANK_SERVING_TOPIC_FORMAT_HPP
#define MARIGOLDCRANK_SERVING_TOPIC_FORMAT_HPP

#include "ports/log_store_port.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace marigoldcrank
{

/// Functions for the records of one topic. Without `read` the topic isn't keyed, and
/// every record counts.
struct topic_format
{
    /// Parses a record; nothing if it is malformed.
    std::function<std::optional<keyed_record>(std::string const& record,
                                              std::uint64_t      offset)>
        read{};
    /// Formats a record as the topic stores it.
    std::function<std::string(keyed_record const& record)> write{};
    /// Whether `after` tells more than `before`, the record of the same key that it
    /// replaces. Empty: every record does.
    std::function<bool(keyed_record const& before, keyed_record const& after)>
        is_change{};
};

/// What a copy of a topic can answer to a query.
enum class mirror_answer
{
    unknown, // nothing: the records are to be read elsewhere
    trimmed, // the state, but not the changes since the offset in the query
    held
};

} // namespace marigoldcrank

#endif
