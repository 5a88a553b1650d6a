// What the serving path needs of the store that keeps what must last: an append-only log.
//
// Index: 1 records, 2 outcomes, 3 log_store_port
//
// Topics have one partition here. An append may be made conditional on the topic's end;
// one without an answer may have taken effect, or may do so later while its condition
// holds.
#ifndef MARIGOLDCRANK_PORTS_LOG_STORE_PORT_HPP
#define MARIGOLDCRANK_PORTS_LOG_STORE_PORT_HPP

#include "domain/boot_clock.hpp"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marigoldcrank
{

/// Records read from one offset on, in order.
struct log_chunk
{
    std::uint64_t            from = 0;  // offset of the first record here
    std::uint64_t            end = 0;   // the topic's end when the read was answered
    std::uint64_t            first = 0; // oldest that is still kept
    std::vector<std::string> records;   // an empty one tells nothing new
    bool                     relayed = false; // by another VM, which has waited for news
    millis age{0}; // what it tells was true so long before the read was sent; negative:
                   // still so long after

    bool operator==(log_chunk const&) const = default;
};

/// A record of a keyed topic.
struct keyed_record
{
    std::string                key;
    std::optional<std::string> value; // none: the key was dropped
    std::uint64_t              offset = 0;

    bool operator==(keyed_record const&) const = default;
};

/// Newest records of a keyed topic, one page.
struct keyed_page
{
    std::vector<keyed_record> records;
    std::uint64_t             end = 0; // read on from here
    bool                      more = false;

    bool operator==(keyed_page const&) const = default;
};

/// Why a call to the store brought nothing.
enum class store_fault
{
    unreachable, // no connection, or none in time: nothing was done
    refused,     // turned away: nothing was done
    no_answer,   // sent, and no whole answer came: may have been done, or be done later
    malformed,   // an answer that can't be read
    moved,       // a conditional append found another end: nothing was done
    trimmed      // the records asked for are no longer kept
};

/// A failed call to the store.
struct store_failure
{
    store_fault   fault = store_fault::unreachable;
    std::uint64_t offset = 0; // moved: the end; trimmed: the first offset kept

    bool operator==(store_failure const&) const = default;
};

template <class Value>
using store_result = std::variant<Value, store_failure>;

/// Each concurrent use goes over a lane (a connection) of its own, picked by number.
template <class Store>
concept log_store_port = requires(Store& store, std::string const& topic,
                                  std::vector<std::string> const& records,
                                  std::optional<std::uint64_t> at, std::uint64_t from,
                                  millis wait, unsigned lane)
{
    {
        store.append(lane, topic, records, at)
        } -> std::same_as<boost::asio::awaitable<store_result<std::uint64_t>>>;
    {
        store.read(lane, topic, from, wait)
        } -> std::same_as<boost::asio::awaitable<store_result<log_chunk>>>;
    {
        store.newest(lane, topic, topic)
        } -> std::same_as<boost::asio::awaitable<store_result<keyed_page>>>;
};

} // namespace marigoldcrank

#endif
