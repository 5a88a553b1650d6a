// log_store_port: the append-only log with the durable records, as a concept.
//
// Index: 1 records, 2 outcomes, 3 log_store_port
//
// A topic has one partition. An append may be conditional on the offset of the topic's
// end. An append without a response may have taken effect, or may do so later as long as
// its condition holds.
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

/// Records of a topic from one offset on, in order: the result of a read.
struct log_chunk
{
    std::uint64_t from = 0;           // offset of the first record here
    std::uint64_t end = 0;            // the topic's end at the time of the response
    std::uint64_t first = 0;          // offset of the oldest record that is still stored
    std::vector<std::string> records; // empty: no new record
    bool   relayed = false;           // sent by another VM, which has waited for updates
    millis age{0}; // ms; the content was current this long before the read was sent;
                   // negative: it was still current this long after
    std::vector<std::uint64_t> offsets; // of `records`; empty: they are consecutive
    std::optional<std::uint64_t>
         covered; // where to read on, if records without a change are left out
    bool trimmed =
        false; // the sender can't tell the changes since `from`, only the state
    bool store_lost = false; // relayed while the sender couldn't read the store

    std::uint64_t offset_at(std::size_t place) const
    {
        return offsets.empty() ? from + place : offsets[place];
    }

    /// The offset from which to read on.
    std::uint64_t next() const
    {
        return covered.value_or(from + records.size());
    }

    bool operator==(log_chunk const&) const = default;
};

/// One record of a keyed topic, in which the newest record of a key counts.
struct keyed_record
{
    std::string                key;
    std::optional<std::string> value; // none: the key was removed
    std::uint64_t              offset = 0;

    bool operator==(keyed_record const&) const = default;
};

/// One page of the newest records of a keyed topic.
struct keyed_page
{
    std::vector<keyed_record> records;
    std::uint64_t             end = 0;         // offset from which to read on
    bool                      more = false;    // further pages follow
    millis                    age{0};          // ms; as of log_chunk
    bool                      relayed = false; // sent by another VM

    bool operator==(keyed_page const&) const = default;
};

/// Why a request to the store failed, and what is known about its effect.
enum class store_fault
{
    not_asked,   // relays didn't reply, and this VM may not ask the store now
    unreachable, // no connection, or not in time: nothing was done
    refused,     // the store refused: nothing was done
    no_response, // sent, but no complete response: may be done now or later
    malformed,   // the response can't be parsed
    moved,       // the topic's end differs from the append's condition: nothing was done
    trimmed      // the requested records are no longer stored
};

inline char const* store_fault_name(store_fault value)
{
    switch (value)
    {
    case store_fault::not_asked:
        return "not_asked";
    case store_fault::unreachable:
        return "unreachable";
    case store_fault::refused:
        return "refused";
    case store_fault::no_response:
        return "no_response";
    case store_fault::malformed:
        return "malformed";
    case store_fault::moved:
        return "moved";
    case store_fault::trimmed:
        break;
    }
    return "trimmed";
}

/// Whether a failure is evidence that the store is away, for others too. The silence of
/// other VMs is none, nor is a response of the store.
inline bool shows_outage(store_fault value)
{
    switch (value)
    {
    case store_fault::unreachable:
    case store_fault::refused:
    case store_fault::no_response:
    case store_fault::malformed:
        return true;
    case store_fault::not_asked:
    case store_fault::moved:
    case store_fault::trimmed:
        break;
    }
    return false;
}

/// A failed request to the store.
struct store_failure
{
    store_fault   fault = store_fault::unreachable;
    std::uint64_t offset = 0; // moved: the topic's end; trimmed: the first offset stored

    bool operator==(store_failure const&) const = default;
};

/// The result of a request to the store, or why it failed.
template <class Value>
using store_result = std::variant<Value, store_failure>;

/// Size of a response to a read, unless the reader asks for less.
inline constexpr std::size_t default_read_kb = 1024;

/// Append, read and listing of the newest record per key. Each concurrent user has a lane
/// (a connection) of its own, given by number. `append` returns the offset of the new
/// records; with `at`, it appends only if the topic ends there. `read` waits up to `wait`
/// for a record, and returns about `max_kb` of them. `newest` returns the page of records
/// after a key.
template <class Store>
concept log_store_port = requires(Store& store, std::string const& topic,
                                  std::vector<std::string> const& records,
                                  std::optional<std::uint64_t> at, std::uint64_t from,
                                  millis wait, std::size_t max_kb, unsigned lane)
{
    {
        store.append(lane, topic, records, at)
        } -> std::same_as<boost::asio::awaitable<store_result<std::uint64_t>>>;
    {
        store.read(lane, topic, from, wait, max_kb)
        } -> std::same_as<boost::asio::awaitable<store_result<log_chunk>>>;
    {
        store.newest(lane, topic, topic)
        } -> std::same_as<boost::asio::awaitable<store_result<keyed_page>>>;
};

} // namespace marigoldcrank

#endif
