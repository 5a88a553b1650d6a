// Publishes and receives load digests, and notices of prompts that have just been sent,
// between entry VMs over ZeroMQ, on the event loop.
//
// Index: 1 digest_extras, 2 digest_link
#ifndef MARIGOLDCRANK_SERVING_DIGEST_LINK_HPP
#define MARIGOLDCRANK_SERVING_DIGEST_LINK_HPP

#include "ledger/usage_windows.hpp"
#include "policy/crash_watch.hpp"
#include "policy/load_relay.hpp"
#include "policy/prefix_directory.hpp"
#include "policy/proxy_list.hpp"
#include "policy/recent_sends.hpp"
#include "policy/server_limits.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace zmq
{
class context_t;
}

namespace marigoldcrank
{

/// The parts of a digest besides the load, which relays don't sum up.
struct digest_extras
{
    std::vector<crash_update>     crashes;
    std::vector<sound_part>       sound_parts;
    std::vector<block_trial>      trials;
    std::vector<usage_record>     usage; // the sender's counts
    std::vector<prefix_update>    prefixes;
    std::map<std::string, millis> avoided; // by server: remaining backoff
    std::string                   records; // address where the sender answers other VMs
    std::vector<std::string>  heard;  // the same of VMs that the sender has heard lately
    std::vector<limit_update> limits; // that servers state
    std::vector<server_proxy> proxies;
};

/// Publishes to all subscribers and subscribes to the given peers. Digests for a peer
/// that does not read them are dropped instead of queued, because only the newest one
/// counts.
class digest_link
{
public:
    /// Called on the loop for each received digest.
    using handler = std::function<void(load_digest digest, digest_extras const& extras)>;

    /// Called on the loop for the notices of one message.
    using notice_handler =
        std::function<void(digest_scope scope, std::vector<send_notice> const& notices)>;

    /// `bind_address`: "IP:PORT". Throws zmq::error_t if the address can't be bound.
    digest_link(boost::asio::io_context& loop, zmq::context_t& context,
                std::string const& bind_address, handler on_digest,
                notice_handler on_notices);
    ~digest_link();
    digest_link(digest_link const&) = delete;
    digest_link& operator=(digest_link const&) = delete;

    /// Replaces the subscriptions: receives digests of these scopes from these peers
    /// only.
    void follow(std::set<std::string> const& peers, std::set<digest_scope> const& scopes);

    void publish(load_digest const& digest, digest_extras const& extras);

    /// Publishes notices to the subscribers of digests of this scope.
    void publish(digest_scope scope, std::vector<send_notice> const& notices);

    /// Handles all digests that have arrived. The owner also calls this regularly, since
    /// the socket's descriptor signals state changes only, not every message.
    void receive_pending();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace marigoldcrank

#endif
