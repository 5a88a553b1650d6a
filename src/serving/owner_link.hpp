// Queries between entry VMs for units of shared token buckets.
//
// Index: 1 owner_decision, 2 owner_link
//
// policy/bucket_owner.hpp decides how an owner replies, and policy/owner_queries.hpp
// which VMs are queried.
#ifndef MARIGOLDCRANK_SERVING_OWNER_LINK_HPP
#define MARIGOLDCRANK_SERVING_OWNER_LINK_HPP

#include "policy/bucket_owner.hpp"
#include "serving/entry_state.hpp"
#include "serving/vm_queries.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zmq
{
class context_t;
}

namespace marigoldcrank
{

class record_link;

/// The reply to a query, and the address of the VM that gave it.
struct owner_decision
{
    bucket_answer answer;
    std::string   granted_by;

    bool operator==(owner_decision const&) const = default;
};

/// Queries the owner of a bucket, and the next VMs in order if it doesn't reply. Passes
/// the queries of other VMs to the handlers of this VM.
class owner_link
{
public:
    /// Handles queries, or the return of `units` if a query's units are negative.
    using query_handler = std::function<bucket_answer(bucket_query const& query)>;

    /// Replies to other VMs through `records`. All arguments must outlive this object.
    owner_link(boost::asio::io_context& loop, zmq::context_t& context, entry_state& state,
               record_link& records);
    owner_link(owner_link const&) = delete;
    owner_link& operator=(owner_link const&) = delete;

    /// Sets the handler of queries for one kind of bucket that this VM may own.
    void handle(bucket_kind kind, query_handler handler);

    /// Sets the addresses of the VMs that may own buckets, and drops state of all others.
    void follow(std::vector<std::string> const& owners);

    /// The possible owners whose digests this VM has received lately.
    std::vector<std::string> live_owners(boot_clock::time_point now) const;

    /// The VMs to query for `key` in order: the owner first, but VMs that have not
    /// replied or whose digests are missing later. VMs of which both is true are left
    /// out.
    std::vector<std::string> order(std::string const& key) const;

    /// Returns nothing if no VM replies. Takes up to three reply timeouts then.
    boost::asio::awaitable<std::optional<owner_decision>> query(bucket_query request);

    /// Returns granted units to the VM at `granted_by`. `granted` is the query that they
    /// were granted for.
    void give_back(bucket_query granted, std::string const& granted_by);

    /// What this VM knows as a possible owner of the bucket that `query` is for.
    owner_view view_for(bucket_query const& query) const;

private:
    /// Queries a VM, or decides here if it is this one; nothing if it doesn't reply in
    /// time.
    boost::asio::awaitable<std::optional<bucket_answer>> query_vm(std::string  address,
                                                                  bucket_query request);

    bucket_answer handle_query(bucket_query const& request) const;
    /// Replies to the serialised query of another VM; empty if it needs no reply.
    std::string reply_to_vm(std::string const& serialized);

    entry_state&                                  state_;
    std::vector<std::string>                      owners_;
    std::map<std::string, boot_clock::time_point> backoff_until_; // asked last until then
    std::map<bucket_kind, query_handler>          handlers_;
    vm_queries                                    queries_;
};

} // namespace marigoldcrank

#endif
