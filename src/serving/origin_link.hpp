// Records of other VMs' streams, and queries between VMs for what began a stream.
//
// Index: 1 origin_query, 2 origin_link, 3 formats, 4 own_knowledge
//
// A caller whose connection breaks takes its stream up at any VM, and the VM that began
// it may be the one that was lost. So while a service has servers of several versions,
// three VMs, chosen by a hash of the stream, keep a record of what began it.
#ifndef MARIGOLDCRANK_SERVING_ORIGIN_LINK_HPP
#define MARIGOLDCRANK_SERVING_ORIGIN_LINK_HPP

#include "policy/stream_origins.hpp"
#include "serving/entry_state.hpp"
#include "serving/vm_queries.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank
{

class owner_link;
class record_link;

/// A stream that is to go on.
struct origin_query
{
    std::uint64_t key = 0;
    std::string   service; // at which it is to go on
    millis        span{0}; // for how long its caller may have waited

    bool operator==(origin_query const&) const = default;
};

/// Keeps records for other VMs, and finds the origin of streams that began elsewhere.
/// Used only on the thread of the event loop.
class origin_link
{
public:
    /// Replies to other VMs through `records`. All arguments must outlive this object.
    origin_link(boost::asio::io_context& loop, zmq::context_t& context,
                entry_state& state, owner_link const& owners, record_link& records);

    /// Follows the versions that are listed, and sends the records of a service once it
    /// has several. Called every digest interval.
    void update();

    /// Keeps a record, here and at its keepers if they need it.
    void record(origin_record const& stream);

    /// What began a stream; nothing if that isn't known. Queries the keepers in turn.
    boost::asio::awaitable<std::optional<stream_origin>> find(origin_query wanted);

    /// Closes the links to all VMs but these.
    void follow(std::vector<std::string> const& vms);

private:
    /// The other VMs that keep the records of a stream, the first ones first.
    std::vector<std::string> keepers_of(std::uint64_t key, std::size_t count) const;

    /// Whether this VM and those that replied would know of a further version. Their
    /// lists may be as old as its own, so it reads the store. `all_replied`: all keepers
    /// have.
    boost::asio::awaitable<bool> knows_versions(bool all_replied);

    void        send(std::vector<origin_record> const& streams);
    std::string reply_to_vm(std::string const& serialized);

    entry_state&          state_;
    owner_link const&     owners_;
    vm_queries            queries_;
    std::set<std::string> mixed_; // services whose records the keepers get
};

/// The bytes of a record of streams, for the store.
std::string format_origins(std::vector<origin_record> const& streams);

/// Malformed bytes, and records without a service or version, give none.
std::vector<origin_record> parse_origins(std::string const& bytes);

/// What this VM itself knows about the origin of a stream.
origin_knowledge own_knowledge(entry_state& state, origin_query const& wanted);

} // namespace marigoldcrank

#endif
